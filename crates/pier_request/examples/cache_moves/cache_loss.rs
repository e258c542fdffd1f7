//! The cache losses that are compared and the measures against them.

use std::fmt;

/// A loss of prefix caches and the measure against it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheLoss {
    /// Nothing is lost.
    None,
    /// One group loses its cache.
    OneGroup,
    /// One group loses its cache, after prefixes that it alone held were copied to the others.
    OneGroupMoved,
    /// All groups of the data centre lose their caches, as when it returns with cold engines.
    All,
    /// The same, but each group imports the cache of a group in another data centre.
    AllImported,
}

impl CacheLoss {
    /// Every variant.
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
