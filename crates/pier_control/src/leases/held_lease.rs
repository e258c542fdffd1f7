//! The lease as its holder counts it.

use std::time;

use pier_types::{epochs, ids, times};

use crate::leases;

/// A lease that this node wrote, valid or run out.
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
    /// How long the record says that it lasts.
    pub duration: time::Duration,
}

impl HeldLease {
    /// Returns when the holder stops using the lease.
    pub fn usable_until(&self, settings: &leases::LeaseSettings) -> times::BootTime {
        self.sent_at
            .after(self.duration.saturating_sub(settings.margin))
    }

    /// Returns when the holder starts to renew.
    pub fn renew_at(&self) -> times::BootTime {
        self.sent_at.after(self.duration / RENEW_DIVISOR)
    }
}

/// The lease is renewed once this part of it has passed.
const RENEW_DIVISOR: u32 = 3;
