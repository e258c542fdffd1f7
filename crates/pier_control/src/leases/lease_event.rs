//! What happened to the lease object.

use pier_types::ids;

use crate::leases;

/// An event that the adapter hands to the keeper.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Time passed.
    Tick,
    /// A read ended.
    ReadDone(leases::LeaseReading),
    /// A read got no answer.
    ReadFailed,
    /// A write ended, or was given up on.
    WriteDone {
        /// The nonce of the record that was written.
        nonce: ids::WriteNonce,
        /// What is known of it.
        outcome: leases::WriteOutcome,
    },
    /// A watch told of the object.
    WatchChanged(leases::LeaseReading),
}
