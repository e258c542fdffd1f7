//! The error of a key that is too short.

use std::{error, fmt};

/// The key is too short. Holds its length only, so that the key never reaches a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyError {
    /// Number of characters of the key.
    pub length: usize,
    /// Minimum number of characters.
    pub min_length: usize,
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the key has {} characters; at least {} are needed",
            self.length, self.min_length
        )
    }
}

impl error::Error for KeyError {}
