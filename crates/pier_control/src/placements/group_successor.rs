//! The next members of a group, which load the weights before they take over.

use pier_types::epochs;
use serde::{Deserialize, Serialize};

use crate::placements;

/// The members that replace the current ones once all new VMs among them have loaded the weights.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupSuccessor {
    /// The generation at which they take over.
    pub generation: epochs::GroupGeneration,
    /// All members at that generation, by rank.
    pub members: Vec<placements::MemberSlot>,
}
