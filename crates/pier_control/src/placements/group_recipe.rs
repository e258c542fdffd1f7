//! What the members of a group run.

use pier_types::ids;
use serde::{Deserialize, Serialize};

use crate::placements;

/// The weights, adapters and roles of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecipe {
    /// The version of the weights; a change makes every member load anew.
    pub version: placements::ModelVersion,
    /// Adapters beside the model; a change keeps the weights.
    pub adapters: Vec<ids::AdapterName>,
    /// How many of the first members read prompts; 0 when every member does both phases.
    pub prefill: u32,
}

impl GroupRecipe {
    /// Returns what the member of a rank does.
    pub fn role(&self, rank: usize) -> placements::MemberRole {
        match self.prefill {
            0 => placements::MemberRole::Unified,
            prefill if rank < prefill as usize => placements::MemberRole::Prefill,
            _ => placements::MemberRole::Decode,
        }
    }
}
