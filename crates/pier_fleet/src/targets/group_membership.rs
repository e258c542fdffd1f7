//! A VM's membership in a replica group.

use pier_types::{epochs, ids};
use serde::{Deserialize, Serialize};

use crate::targets;

/// The group that a VM reports to be in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMembership {
    /// Name of the group.
    pub group: ids::GroupName,
    /// Generation of the group's member list.
    pub generation: epochs::GroupGeneration,
    /// Index in the member list; the member at 0 receives the requests.
    pub rank: u32,
    /// Phase that the VM has reached.
    pub phase: targets::GroupPhase,
}
