//! The right to start what must be unique, for a while.

use pier_types::{epochs, times};

/// A lease that is held now, with its end after the margin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The term in which it was taken.
    pub term: epochs::LeaseTerm,
    /// The first moment at which it may no longer be used.
    pub until: times::BootTime,
}

impl LeaseGrant {
    /// Tells whether the grant may still be used.
    pub fn covers(&self, now: times::BootTime) -> bool {
        now < self.until
    }
}
