//! The health of a VM.

use std::fmt;

/// The health of a VM according to the evidence about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum VmHealth {
    /// Answers about as fast as its peers.
    Healthy,
    /// Answers, but far slower than its peers.
    Straggler,
    /// No fresh answer; the VM may be paused, cut off or dead.
    Missing,
    /// Refuses connections, or has not answered for a long time.
    Dead,
}

impl VmHealth {
    /// Returns whether new work may be sent to the VM.
    pub const fn serves(self) -> bool {
        matches!(self, Self::Healthy)
    }
}

impl fmt::Display for VmHealth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Healthy => "healthy",
            Self::Straggler => "straggler",
            Self::Missing => "missing",
            Self::Dead => "dead",
        })
    }
}
