//! What is known of a VM's health.

use pier_types::{epochs, times};

/// The condition of a VM by the probes' evidence.
///
/// A dead VM and a paused one look the same from outside until the paused one answers again;
/// how long the silence has lasted is what tells them apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmCondition {
    /// It answers, under this incarnation.
    Sound {
        /// The incarnation that it reports.
        incarnation: epochs::VmIncarnation,
    },
    /// It answers, but much slower than the others.
    Straggling {
        /// The incarnation that it reports.
        incarnation: epochs::VmIncarnation,
        /// Since when it has been slow.
        since: times::BootTime,
    },
    /// It has stopped answering.
    Unreachable {
        /// When the last probe that it answered was sent.
        since: times::BootTime,
    },
}

impl VmCondition {
    /// Returns the incarnation that the VM reports, if it answers.
    pub const fn incarnation(&self) -> Option<epochs::VmIncarnation> {
        match self {
            Self::Sound { incarnation } | Self::Straggling { incarnation, .. } => {
                Some(*incarnation)
            }
            Self::Unreachable { .. } => None,
        }
    }
}
