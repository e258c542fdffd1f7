//! Whether a node seems to live.

use std::fmt;

/// What the last sign of life says of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberHealth {
    /// Heard of lately.
    Alive,
    /// Not heard of for a while; asked for nothing, but not forgotten.
    Suspect,
}

impl fmt::Display for MemberHealth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
        })
    }
}
