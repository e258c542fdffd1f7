//! The right to act as the lease holder until a given time.

use pier_types::{epochs, times};

/// A lease that this node holds now. Its end already excludes the safety margin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The term in which it was taken.
    pub term: epochs::LeaseTerm,
    /// The time from which it may no longer be used.
    pub until: times::BootTime,
}

impl LeaseGrant {
    /// Returns whether the grant may still be used.
    pub fn covers(&self, now: times::BootTime) -> bool {
        now < self.until
    }
}
