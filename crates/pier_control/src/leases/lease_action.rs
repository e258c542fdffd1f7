//! What the keeper asks the adapter to do.

use pier_types::epochs;

use crate::leases;

/// A call on the lease object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the object and report [`leases::LeaseEvent::ReadDone`] or `ReadFailed`.
    Read,
    /// Write the record, once and without a retry, and report [`leases::LeaseEvent::WriteDone`].
    Write {
        /// The record to write.
        record: leases::LeaseRecord,
        /// The version that the object must have.
        if_version: epochs::ObjectVersion,
    },
}
