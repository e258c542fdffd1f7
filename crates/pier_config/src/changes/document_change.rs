//! A changed entry.

use std::fmt;

/// An entry that was added, removed or changed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct DocumentChange {
    /// The section heading, without brackets.
    pub section: String,
    /// The key.
    pub key: String,
    /// The old value; `None` if the entry was added.
    pub before: Option<String>,
    /// The new value; `None` if the entry was removed.
    pub after: Option<String>,
}

impl fmt::Display for DocumentChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}] {}: ", self.section, self.key)?;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "{before} -> {after}"),
            (Some(before), None) => write!(f, "removed, was {before}"),
            (None, Some(after)) => write!(f, "added, {after}"),
            (None, None) => f.write_str("unchanged"),
        }
    }
}
