//! Why a lease record was not understood.

use std::{error, fmt};

/// The reason for which a lease object was left as it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseError {
    /// The value is not the JSON of a record.
    Malformed(String),
    /// The record claims a longer life than any node may take.
    DurationTooLong {
        /// The life that the record claims, in milliseconds.
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
                    "lease record claims {found_ms} ms, over the greatest life"
                )
            }
        }
    }
}

impl error::Error for LeaseError {}
