//! The lease from its holder's point of view.

use std::time;

use pier_types::{epochs, ids, times};

use crate::leases;

/// A lease that this node wrote, whether it is valid or expired.
#[derive(Debug, Clone)]
pub(super) struct HeldLease {
    /// Term of the record.
    pub term: epochs::LeaseTerm,
    /// Version of the object that holds the record.
    pub version: epochs::ObjectVersion,
    /// Nonce of the record.
    pub nonce: ids::WriteNonce,
    /// When the write was sent.
    pub sent_at: times::BootTime,
    /// The duration that the record states.
    pub duration: time::Duration,
}

impl HeldLease {
    /// Returns when the holder stops using the lease.
    pub fn usable_until(&self, settings: &leases::LeaseSettings) -> times::BootTime {
        self.sent_at
            .after(self.duration.saturating_sub(settings.margin))
    }

    /// Returns when the holder starts to renew the lease.
    pub fn renew_at(&self) -> times::BootTime {
        self.sent_at.after(self.duration / RENEW_DIVISOR)
    }
}

/// The lease is renewed once its duration divided by this number has passed.
const RENEW_DIVISOR: u32 = 3;
