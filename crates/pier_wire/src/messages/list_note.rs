//! The answer to a question for the VM list.

use serde::{Deserialize, Serialize};

use crate::messages;

/// Tells how the sender's VM list differs from the asker's, and when it was read.
///
/// Ages count back from the moment that the note was made. The asker knows that this lies between
/// its question and the arrival, so no clock is compared with another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListNote {
    /// The pull that it answers.
    pub pull: u64,
    /// Time since the reading was sent to the platform, in milliseconds, rounded up.
    pub oldest_ms: u32,
    /// Time since the reading was answered, in milliseconds, rounded down.
    pub youngest_ms: u32,
    /// The difference.
    pub difference: ListDifference,
}

/// How the sender's list differs from the asker's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListDifference {
    /// Not at all.
    Same,
    /// By these changes, which lead to a list with the digest.
    Changes {
        /// The digest of the list after the changes.
        digest: messages::ListDigest,
        /// The changes, each VM once.
        changes: Vec<messages::ListChange>,
    },
    /// By more than a datagram holds, or the sender does not know the asker's list.
    Behind,
}
