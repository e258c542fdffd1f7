//! A request for the VM list.

use serde::{Deserialize, Serialize};

use crate::messages;

/// Requests the data centre's part of the VM list from another node, usually the one that reads it
/// from the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListPull {
    /// A number chosen by the requester; the reply repeats it.
    pub pull: u64,
    /// The digest of the requester's current list.
    pub known: Option<messages::ListDigest>,
}
