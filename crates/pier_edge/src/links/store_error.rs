//! Why the store did not answer.

use std::{error, fmt};

/// A call to the store that failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The changes asked for are no longer kept.
    HistoryGone,
    /// The store refused with this status.
    Refused(u16),
    /// No whole answer came.
    Away(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HistoryGone => f.write_str("the store dropped this history"),
            Self::Refused(status) => write!(f, "the store refused with status {status}"),
            Self::Away(reason) => write!(f, "the store did not answer: {reason}"),
        }
    }
}

impl error::Error for StoreError {}
