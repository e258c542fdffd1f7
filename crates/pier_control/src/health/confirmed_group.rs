//! What was once seen of a group.

use std::collections;

use pier_types::{epochs, ids};

/// The members that were seen to obey a group's present generation.
#[derive(Debug, Clone, Default)]
pub(super) struct ConfirmedGroup {
    /// The generation.
    pub generation: epochs::GroupGeneration,
    /// The members that reported it.
    pub members: collections::BTreeSet<ids::VmName>,
}
