//! The value of the lease object.

use std::time;

use pier_types::{epochs, ids};
use serde::{Deserialize, Serialize};

use crate::leases;

/// The longest allowed duration of a lease, in milliseconds. A wrong record with a longer duration
/// would keep a data centre without a lease holder.
const MAX_LEASE_MS: u64 = 10 * 60 * 1_000;

/// The control lease of a data centre, stored as JSON at `lease/DC`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The node that holds the lease.
    pub holder: ids::NodeName,
    /// The term, which rises with each takeover.
    pub term: epochs::LeaseTerm,
    /// Identifies the write that stored this record.
    pub nonce: ids::WriteNonce,
    /// How long the lease lasts, in milliseconds; 0 when its holder has given it up.
    pub duration_ms: u64,
    /// The nodes of the data centre, as known to the holder.
    pub roster: leases::NodeRoster,
}

impl LeaseRecord {
    /// Reads a record from JSON.
    ///
    /// # Errors
    ///
    /// Fails when the value does not parse or states too long a duration.
    pub fn parse(value: &[u8]) -> Result<Self, leases::LeaseError> {
        let record: Self = serde_json::from_slice(value)
            .map_err(|error| leases::LeaseError::Malformed(error.to_string()))?;
        if record.duration_ms > MAX_LEASE_MS {
            return Err(leases::LeaseError::DurationTooLong {
                found_ms: record.duration_ms,
            });
        }
        Ok(record)
    }

    /// Writes the record as JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Returns how long the lease lasts.
    pub const fn duration(&self) -> time::Duration {
        time::Duration::from_millis(self.duration_ms)
    }
}
