//! The error for invalid case files.

use std::{error, fmt};

/// Why a case file or `cells.ini` cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CaseError(String);

impl CaseError {
    /// Creates an error from its message.
    pub fn new(message: impl Into<String>) -> Self {
        Self(message.into())
    }
}

impl fmt::Display for CaseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl error::Error for CaseError {}
