//! The placement of one replica group.

use std::collections;

use pier_types::{epochs, ids};
use serde::{Deserialize, Serialize};

use crate::placements;

/// A replica group: what it runs, and on which VMs of one fabric domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupPlacement {
    /// The model that it serves.
    pub model: ids::ModelName,
    /// The version, adapters and roles that its members run.
    pub recipe: placements::GroupRecipe,
    /// The fabric domain of all members.
    pub domain: ids::DomainName,
    /// The fencing number, which rises with each change of members or recipe.
    pub generation: epochs::GroupGeneration,
    /// The generation at which the version or adapters last changed. A member that applied an order
    /// of this group with this or a later generation has the current weights and adapters.
    pub weights_from: epochs::GroupGeneration,
    /// The members by rank; requests are sent to the first one.
    pub members: Vec<placements::MemberSlot>,
    /// The next members, while they are being prepared.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub successor: Option<placements::GroupSuccessor>,
}

impl GroupPlacement {
    /// Returns every VM that belongs to the group or to its successor.
    pub fn vms(&self) -> collections::BTreeSet<&ids::VmName> {
        let next = self.successor.iter().flat_map(|next| &next.members);
        self.members
            .iter()
            .chain(next)
            .map(|slot| &slot.vm)
            .collect()
    }

    /// Returns the successor's members that are not current members, with their ranks.
    pub fn new_members(&self) -> Vec<(usize, &placements::MemberSlot)> {
        let next = self.successor.iter().flat_map(|next| &next.members);
        next.enumerate()
            .filter(|(_rank, slot)| self.members.iter().all(|member| member.vm != slot.vm))
            .collect()
    }
}
