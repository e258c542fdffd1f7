//! The error of a name that breaks the rules.

use std::{error, fmt};

/// Greatest length of a name, in characters.
const NAME_LIMIT: usize = 128;

/// Tells which name was refused and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NameError {
    what: &'static str,
    found: String,
}

impl NameError {
    pub(crate) fn new(what: &'static str, text: &str) -> Self {
        Self {
            what,
            found: text.chars().take(NAME_LIMIT).collect(),
        }
    }
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} name {:?} is not 1 to {NAME_LIMIT} characters out of A-Z a-z 0-9 . _ -",
            self.what, self.found
        )
    }
}

impl error::Error for NameError {}

/// Checks that a text may serve as a name.
pub(crate) fn check_name(what: &'static str, text: &str) -> Result<(), NameError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-');
    if (1..=NAME_LIMIT).contains(&text.len()) && text.bytes().all(allowed) {
        return Ok(());
    }
    Err(NameError::new(what, text))
}
