//! The lease object as a read or a watch showed it.

use pier_types::epochs;

use crate::leases;

/// What the lease object held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseReading {
    /// There is no such object.
    Absent,
    /// A record at a version.
    Found {
        /// Version of the object.
        version: epochs::ObjectVersion,
        /// The record.
        record: leases::LeaseRecord,
    },
    /// A value that is no record; it is never overwritten.
    Malformed {
        /// Version of the object.
        version: epochs::ObjectVersion,
    },
}

impl LeaseReading {
    /// Reads a value of the lease object.
    ///
    /// # Errors
    ///
    /// Fails when the value is no record; the caller logs it and hands on
    /// [`LeaseReading::Malformed`].
    pub fn parse(version: epochs::ObjectVersion, value: &[u8]) -> Result<Self, leases::LeaseError> {
        let record = leases::LeaseRecord::parse(value)?;
        Ok(Self::Found { version, record })
    }
}
