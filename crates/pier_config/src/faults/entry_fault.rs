//! One fault of a document.

use std::fmt;

/// One refused entry: where it is, what was found and what is allowed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryFault {
    /// The section heading without brackets, or `line L:C` if the text is not valid INI.
    pub section: String,
    /// The key; empty if the fault concerns the whole section.
    pub key: String,
    /// What was found.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
}

impl fmt::Display for EntryFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}]", self.section)?;
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        write!(f, ": found {}; allowed: {}", self.found, self.allowed)
    }
}
