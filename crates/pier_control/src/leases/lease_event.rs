//! The events that drive the keeper.

use pier_types::ids;

use crate::leases;

/// An event that the caller passes to the keeper.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Time passed.
    Tick,
    /// A read succeeded.
    ReadDone(leases::LeaseReading),
    /// A read got no answer.
    ReadFailed,
    /// A write ended or timed out.
    WriteDone {
        /// The nonce of the record that was written.
        nonce: ids::WriteNonce,
        /// What is known of its effect.
        outcome: leases::WriteOutcome,
    },
    /// A watch reported the object's state.
    WatchChanged(leases::LeaseReading),
}
