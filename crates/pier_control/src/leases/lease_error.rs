//! Why a lease record is not valid.

use std::{error, fmt};

/// The reason why a lease object has no valid record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseError {
    /// The value is not the JSON of a record.
    Malformed(String),
    /// The record states a longer duration than is allowed.
    DurationTooLong {
        /// The duration that the record states, in milliseconds.
        found_ms: u64,
    },
}

impl fmt::Display for LeaseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(reason) => write!(f, "lease record does not parse: {reason}"),
            Self::DurationTooLong { found_ms } => {
                write!(
                    f,
                    "lease record states a duration of {found_ms} ms, longer than allowed"
                )
            }
        }
    }
}

impl error::Error for LeaseError {}
