//! The last order sent to a VM.

use pier_types::{epochs, ids, times};

/// Identifies the last order sent to a VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SentOrder {
    /// The group.
    pub group: ids::GroupId,
    /// The generation.
    pub generation: epochs::GroupGeneration,
    /// When it was created.
    pub created_at: times::BootTime,
}
