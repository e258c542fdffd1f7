//! The error of a claim object that does not parse.

use std::{error, fmt};

/// Tells why a claim object could not be read or written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordError {
    /// What the JSON library found.
    pub reason: String,
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "claim object: {}", self.reason)
    }
}

impl error::Error for RecordError {}
