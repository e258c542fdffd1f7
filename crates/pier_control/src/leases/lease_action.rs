//! The calls that the keeper requests from its caller.

use pier_types::epochs;

use crate::leases;

/// A call on the lease object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the object, then report [`leases::LeaseEvent::ReadDone`] or `ReadFailed`.
    Read,
    /// Write the record once, without a retry, then report [`leases::LeaseEvent::WriteDone`].
    Write {
        /// The record to write.
        record: leases::LeaseRecord,
        /// The version that the object must have for the write to succeed.
        if_version: epochs::ObjectVersion,
    },
}
