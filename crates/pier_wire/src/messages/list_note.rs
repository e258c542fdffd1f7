//! The reply to a [`messages::ListPull`].

use serde::{Deserialize, Serialize};

use crate::messages;

/// Contains how the sender's VM list differs from the requester's, and when it was read.
///
/// The two ages are relative to the time at which the note was created. The requester knows that
/// this was between its request and the reply, so clocks of different nodes are never compared.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListNote {
    /// The number of the pull that this answers.
    pub pull: u64,
    /// Time since the list was requested from the platform, in milliseconds, rounded up.
    pub oldest_ms: u32,
    /// Time since the platform answered, in milliseconds, rounded down.
    pub youngest_ms: u32,
    /// How the lists differ.
    pub difference: ListDifference,
}

/// How the sender's list differs from the requester's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListDifference {
    /// The lists are equal.
    Same,
    /// Applying these changes to the requester's list results in the sender's.
    Changes {
        /// The digest of the sender's list.
        digest: messages::ListDigest,
        /// The changes, at most one for each VM.
        changes: Vec<messages::ListChange>,
    },
    /// The changes do not fit a datagram, or the sender does not know the requester's list. The
    /// requester has to fetch the whole list.
    Behind,
}
