//! The question for the VM list.

use serde::{Deserialize, Serialize};

use crate::messages;

/// Asks the node that reads the platform's VM list for its data centre's part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListPull {
    /// Chosen by the asker; the reply repeats it.
    pub pull: u64,
    /// The list that the asker has.
    pub known: Option<messages::ListDigest>,
}
