//! The answer of a VM to a status query.

use pier_fleet::targets;

/// What a VM reports.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberReport {
    /// The VM's start, weights and group.
    pub standing: targets::TargetStanding,
    /// Factor by which the VM is slower than published.
    pub pace: f64,
}
