//! A VM's place in a group.

use pier_types::{epochs, ids};
use serde::{Deserialize, Serialize};

use crate::targets;

/// The group that a VM says it belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMembership {
    /// Name of the group.
    pub group: ids::GroupName,
    /// Generation of the list of members.
    pub generation: epochs::GroupGeneration,
    /// Place in that list; 0 takes the requests.
    pub rank: u32,
    /// How far the VM is.
    pub phase: targets::GroupPhase,
}
