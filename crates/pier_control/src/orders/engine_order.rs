//! The body of an order.

use pier_types::{epochs, ids};
use serde::{Deserialize, Serialize};

use crate::{orders, placements};

/// An order as `POST /orders` takes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// What is asked for.
    pub kind: orders::OrderKind,
    /// The group.
    pub group: ids::GroupId,
    /// The fencing number.
    pub generation: epochs::GroupGeneration,
    /// The position of the engine's VM among the members.
    pub rank: usize,
    /// All members by rank; none for a release.
    pub members: Vec<ids::VmName>,
    /// The model; none for a release.
    pub model: Option<ids::ModelName>,
    /// The version of the weights; none for a release.
    pub version: Option<placements::ModelVersion>,
    /// Adapters to load beside the model.
    pub adapters: Vec<ids::AdapterName>,
    /// What the member does.
    pub role: placements::MemberRole,
    /// How long the engine may wait before it obeys, in milliseconds from the arrival.
    pub expires_in_ms: u64,
}
