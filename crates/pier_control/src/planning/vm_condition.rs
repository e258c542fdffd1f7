//! The health of a VM according to probes.

use pier_types::{epochs, times};

/// The condition of a VM according to probes.
///
/// A failed VM and a paused VM cannot be told apart until the paused one answers again, so the
/// planner decides by how long the VM has been unreachable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmCondition {
    /// It answers probes and is not a straggler.
    Healthy {
        /// The incarnation that it reports.
        incarnation: epochs::VmIncarnation,
    },
    /// It answers probes, but is a straggler: much slower than the other VMs.
    Straggling {
        /// The incarnation that it reports.
        incarnation: epochs::VmIncarnation,
        /// When it was first found to be slow.
        since: times::BootTime,
    },
    /// It has stopped answering probes.
    Unreachable {
        /// When the last probe that it answered was sent, or a later time from which this node
        /// counts the silence.
        since: times::BootTime,
    },
}

impl VmCondition {
    /// Returns the incarnation that the VM reports, or `None` if it is unreachable.
    pub const fn incarnation(&self) -> Option<epochs::VmIncarnation> {
        match self {
            Self::Healthy { incarnation } | Self::Straggling { incarnation, .. } => {
                Some(*incarnation)
            }
            Self::Unreachable { .. } => None,
        }
    }
}
