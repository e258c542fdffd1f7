//! Durations and thresholds of the planner.

use std::time;

/// How long the planner waits before it replaces VMs, and how many spares it keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannerSettings {
    /// A member that has not answered probes for this long is replaced.
    pub repair_delay: time::Duration,
    /// A member that has been a straggler for this long is replaced.
    pub straggler_delay: time::Duration,
    /// Unreachable members in a domain with an outage are not replaced until every unreachable VM
    /// of the domain has been silent for this long.
    pub outage_delay: time::Duration,
    /// A domain has an outage when at least this share of its VMs, in thousandths, and more than
    /// one VM is unreachable.
    pub outage_permille: usize,
    /// When more than this share of the data centre's VMs, in thousandths, is unreachable, the
    /// planner assumes that its own node is cut off and replaces no VM for being unreachable.
    pub doubtful_view_permille: usize,
    /// Number of members in a domain for which one spare VM is kept.
    pub members_per_spare: usize,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            repair_delay: time::Duration::from_secs(10),
            straggler_delay: time::Duration::from_mins(1),
            outage_delay: time::Duration::from_mins(2),
            outage_permille: 800,
            doubtful_view_permille: 500,
            members_per_spare: 32,
        }
    }
}
