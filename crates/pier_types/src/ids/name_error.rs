//! Validation of names.

use std::{error, fmt};

/// Longest name, in characters.
const MAX_NAME_LEN: usize = 128;

/// The error for a name that is too long, empty or has characters that are not allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NameError {
    kind: &'static str,
    found: String,
}

impl NameError {
    pub(crate) fn new(kind: &'static str, text: &str) -> Self {
        Self {
            kind,
            found: text.chars().take(MAX_NAME_LEN).collect(),
        }
    }
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} name {:?} is not 1 to {MAX_NAME_LEN} characters out of A-Z a-z 0-9 . _ -",
            self.kind, self.found
        )
    }
}

impl error::Error for NameError {}

/// Checks the length and the characters of a name.
pub(crate) fn check_name(kind: &'static str, text: &str) -> Result<(), NameError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-');
    if (1..=MAX_NAME_LEN).contains(&text.len()) && text.bytes().all(allowed) {
        return Ok(());
    }
    Err(NameError::new(kind, text))
}
