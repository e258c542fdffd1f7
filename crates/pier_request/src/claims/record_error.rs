//! The error for a claim object that cannot be encoded or decoded.

use std::{error, fmt};

/// Why a claim object could not be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordError {
    /// The message of the JSON library.
    pub reason: String,
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "claim object: {}", self.reason)
    }
}

impl error::Error for RecordError {}
