//! The members that have confirmed a group's generation.

use std::collections;

use pier_types::{epochs, ids};

/// The members that have reported a group's current generation at least once.
#[derive(Debug, Clone, Default)]
pub(super) struct ConfirmedGroup {
    /// The generation.
    pub generation: epochs::GroupGeneration,
    /// The members that reported it.
    pub members: collections::BTreeSet<ids::VmName>,
}
