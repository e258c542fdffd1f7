//! A VM's answer when asked about itself.

use pier_fleet::targets;

/// What a VM reports.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberReport {
    /// Its start, weights and group.
    pub standing: targets::TargetStanding,
    /// How many times slower than published it is.
    pub pace: f64,
}
