//! One entry of a document in canonical form.

use std::fmt;

/// A key and its value, with defaults filled in.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct DocumentEntry {
    /// The section heading, without brackets.
    pub section: String,
    /// The key.
    pub key: String,
    /// The value, formatted as in the document.
    pub value: String,
}

impl fmt::Display for DocumentEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {}", self.key, self.value)
    }
}
