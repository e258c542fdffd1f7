//! The configuration that the members of a group run.

use pier_types::ids;
use serde::{Deserialize, Serialize};

use crate::placements;

/// The weights, adapters and roles of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecipe {
    /// The version of the weights; after a change every member reloads them.
    pub version: placements::ModelVersion,
    /// The adapters loaded with the model; a change does not replace the model's weights.
    pub adapters: Vec<ids::AdapterName>,
    /// How many members, counted from rank 0, do prefill; 0 when every member does both prefill and
    /// decode.
    pub prefill: u32,
}

impl GroupRecipe {
    /// Returns the role of the member with a rank.
    pub fn role(&self, rank: usize) -> placements::MemberRole {
        match self.prefill {
            0 => placements::MemberRole::Unified,
            prefill if rank < prefill as usize => placements::MemberRole::Prefill,
            _ => placements::MemberRole::Decode,
        }
    }
}
