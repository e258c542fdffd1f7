//! An order that was sent before.

use pier_types::{epochs, ids, times};

/// What was last sent to a VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SentOrder {
    /// The group.
    pub group: ids::GroupId,
    /// The generation.
    pub generation: epochs::GroupGeneration,
    /// When it was built.
    pub built_at: times::BootTime,
}
