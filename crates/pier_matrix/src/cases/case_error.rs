//! What is wrong with a case file.

use std::{error, fmt};

/// A case file that can not be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CaseError(String);

impl CaseError {
    /// Makes an error from one sentence.
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
