//! How a VM stands.

use std::fmt;

/// What the evidence says of a VM now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum VmStanding {
    /// Answers, and as fast as its peers.
    Healthy,
    /// Answers, but far slower than its peers.
    Straggler,
    /// No fresh answer yet; may be paused, cut off or dead.
    Missing,
    /// Nothing listens there, or no answer for long.
    Dead,
}

impl VmStanding {
    /// Returns whether new work may go there.
    pub const fn serves(self) -> bool {
        matches!(self, Self::Healthy)
    }
}

impl fmt::Display for VmStanding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Healthy => "healthy",
            Self::Straggler => "straggler",
            Self::Missing => "missing",
            Self::Dead => "dead",
        })
    }
}
