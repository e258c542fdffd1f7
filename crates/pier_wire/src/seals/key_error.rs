//! The error of a key that is too short.

use std::{error, fmt};

/// Tells how short the key was, never the key itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyError {
    /// Characters found.
    pub length: usize,
    /// Fewest characters allowed.
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
