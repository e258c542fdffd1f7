//! Errors of calls to the store.

use std::{error, fmt};

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The store no longer keeps the requested changes.
    HistoryGone,
    /// The store refused the call with this status.
    Refused(u16),
    /// No complete answer came.
    Away(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HistoryGone => f.write_str("the store no longer keeps the requested changes"),
            Self::Refused(status) => write!(f, "the store refused with status {status}"),
            Self::Away(reason) => write!(f, "the store did not answer: {reason}"),
        }
    }
}

impl error::Error for StoreError {}
