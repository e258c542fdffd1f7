//! One replica group.

use std::collections;

use pier_types::{epochs, ids};
use serde::{Deserialize, Serialize};

use crate::placements;

/// A replica group: what it runs, and on which VMs of one fabric domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupPlacement {
    /// The model that it serves.
    pub model: ids::ModelName,
    /// What its members run.
    pub recipe: placements::GroupRecipe,
    /// The fabric domain of all members.
    pub domain: ids::DomainName,
    /// The fencing number; rises with each change of members or recipe.
    pub generation: epochs::GroupGeneration,
    /// The generation at which the version or adapters were last chosen; a member that obeyed an
    /// order of this group from there on holds them.
    pub weights_from: epochs::GroupGeneration,
    /// The members by rank; the first one takes the requests.
    pub members: Vec<placements::MemberSlot>,
    /// Members that are being prepared to follow.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub successor: Option<placements::GroupSuccessor>,
}

impl GroupPlacement {
    /// Returns every VM that belongs to the group, now or by its successor.
    pub fn vms(&self) -> collections::BTreeSet<&ids::VmName> {
        let next = self.successor.iter().flat_map(|next| &next.members);
        self.members
            .iter()
            .chain(next)
            .map(|slot| &slot.vm)
            .collect()
    }

    /// Returns the successor's members that are not members yet, with their ranks.
    pub fn newcomers(&self) -> Vec<(usize, &placements::MemberSlot)> {
        let next = self.successor.iter().flat_map(|next| &next.members);
        next.enumerate()
            .filter(|(_rank, slot)| self.members.iter().all(|member| member.vm != slot.vm))
            .collect()
    }
}
