//! One fault of a document.

use std::fmt;

/// One entry that was refused: where it stands, what was found and what is allowed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryFault {
    /// The section's heading without brackets, or `line L:C` when the text is not INI.
    pub section: String,
    /// The key; empty when the section itself is at fault.
    pub key: String,
    /// What stands there.
    pub found: String,
    /// What may stand there.
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
