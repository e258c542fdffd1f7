//! A write whose effect is not known yet.

use pier_types::{epochs, times};

use crate::leases;

/// A conditional write that was sent and may take effect at any time.
#[derive(Debug, Clone)]
pub(super) struct PendingWrite {
    /// The record that was sent.
    pub record: leases::LeaseRecord,
    /// The version that it is conditional on.
    pub if_version: epochs::ObjectVersion,
    /// When it was sent.
    pub sent_at: times::BootTime,
}
