//! The body of an order.

use pier_types::{epochs, ids};
use serde::{Deserialize, Serialize};

use crate::{orders, placements};

/// The JSON body of `POST /orders`, which an engine accepts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// What the engine is to do.
    pub kind: orders::OrderKind,
    /// The group.
    pub group: ids::GroupId,
    /// The group's generation, used as the fencing number.
    pub generation: epochs::GroupGeneration,
    /// The rank of the engine's VM among the members.
    pub rank: usize,
    /// All members by rank; empty for a release.
    pub members: Vec<ids::VmName>,
    /// The model; `None` for a release.
    pub model: Option<ids::ModelName>,
    /// The version of the weights; `None` for a release.
    pub version: Option<placements::ModelVersion>,
    /// The adapters to load with the model.
    pub adapters: Vec<ids::AdapterName>,
    /// The phases of inference that the member runs.
    pub role: placements::MemberRole,
    /// How long after its arrival the engine may still apply the order, in milliseconds.
    pub expires_in_ms: u64,
}
