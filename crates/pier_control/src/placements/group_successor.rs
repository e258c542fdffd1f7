//! The next members of a group, prepared before they take over.

use pier_types::epochs;
use serde::{Deserialize, Serialize};

use crate::placements;

/// Members that follow once the new ones among them hold the weights.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupSuccessor {
    /// The generation at which they take over.
    pub generation: epochs::GroupGeneration,
    /// All members at that generation, by rank.
    pub members: Vec<placements::MemberSlot>,
}
