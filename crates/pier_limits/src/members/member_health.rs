//! Whether a node seems to be alive.

use std::fmt;

/// The health of a node according to its latest heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberHealth {
    /// Its heartbeat rose recently.
    Alive,
    /// Its heartbeat has not risen for a while. Other nodes ask nothing of it, but do not forget
    /// it yet.
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
