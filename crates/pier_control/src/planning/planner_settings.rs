//! Durations and rules of the planner.

use std::time;

/// How long the planner waits before it acts on bad evidence, and what it keeps in reserve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannerSettings {
    /// A silent VM is replaced after this time.
    pub repair_after: time::Duration,
    /// A slow VM is replaced after this time.
    pub straggler_hold: time::Duration,
    /// Groups of a domain that went dark as a whole are kept for this time.
    pub dark_hold: time::Duration,
    /// A domain is dark when this part of its VMs is silent, in thousandths.
    pub dark_permille: usize,
    /// Silence of more than this part of the data centre is taken for a fault of the planner's own
    /// view, in thousandths; no VM is then replaced for its silence.
    pub doubt_permille: usize,
    /// One spare VM is kept for so many members in a domain.
    pub members_per_spare: usize,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            repair_after: time::Duration::from_secs(10),
            straggler_hold: time::Duration::from_mins(1),
            dark_hold: time::Duration::from_mins(2),
            dark_permille: 800,
            doubt_permille: 500,
            members_per_spare: 32,
        }
    }
}
