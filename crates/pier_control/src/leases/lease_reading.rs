//! The state of the lease object as returned by a read or a watch.

use pier_types::epochs;

use crate::leases;

/// The state of the lease object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseReading {
    /// The object does not exist.
    Absent,
    /// The object has a valid record.
    Found {
        /// Version of the object.
        version: epochs::ObjectVersion,
        /// The record.
        record: leases::LeaseRecord,
    },
    /// The object's value is not a valid record. It is never overwritten.
    Malformed {
        /// Version of the object.
        version: epochs::ObjectVersion,
    },
}

impl LeaseReading {
    /// Parses a value of the lease object.
    ///
    /// # Errors
    ///
    /// Fails when the value is not a valid record. The caller then logs the error and uses
    /// [`LeaseReading::Malformed`] instead.
    pub fn parse(version: epochs::ObjectVersion, value: &[u8]) -> Result<Self, leases::LeaseError> {
        let record = leases::LeaseRecord::parse(value)?;
        Ok(Self::Found { version, record })
    }
}
