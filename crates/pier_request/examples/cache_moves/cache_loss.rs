//! What is lost, and what is done about it.

use std::fmt;

/// A loss of caches and the way it is met.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheLoss {
    /// Nothing is lost.
    None,
    /// One group loses its cache.
    OneGroup,
    /// One group loses its cache; what it alone held was moved to the others before.
    OneGroupMoved,
    /// All groups of the data centre lose their caches, as when it comes back cold.
    All,
    /// The same, and each group imports what one of another data centre holds.
    AllImported,
}

impl CacheLoss {
    /// All of them.
    pub const ALL: [Self; 5] = [
        Self::None,
        Self::OneGroup,
        Self::OneGroupMoved,
        Self::All,
        Self::AllImported,
    ];
}

impl fmt::Display for CacheLoss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::None => "nothing lost",
            Self::OneGroup => "one group",
            Self::OneGroupMoved => "one group, moved before",
            Self::All => "all groups",
            Self::AllImported => "all groups, imported",
        })
    }
}
