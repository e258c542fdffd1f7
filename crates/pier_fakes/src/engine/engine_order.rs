//! Orders from the control plane to an engine.

use pier_types::{epochs, ids};
use serde::{Deserialize, Serialize};

/// What an order asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Join a group and load its model.
    Load,
    /// Leave the group and drop the weights.
    Release,
    /// Change role.
    Role,
}

/// Which phases of inference a group runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineRole {
    /// Prefill and decode.
    #[default]
    Unified,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// An order to load, release or change role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// What it asks for.
    pub kind: OrderKind,
    /// The group that it concerns.
    pub group: ids::GroupId,
    /// The group's generation, used as the fencing token.
    pub generation: epochs::GroupGeneration,
    /// The engine's rank in the group; rank 0 receives requests.
    #[serde(default)]
    pub rank: u32,
    /// The group's members, ordered by rank.
    #[serde(default)]
    pub members: Vec<ids::VmName>,
    /// The model to load.
    #[serde(default)]
    pub model: Option<ids::ModelName>,
    /// The model's version.
    #[serde(default)]
    pub version: Option<serde_json::Value>,
    /// The adapters to load.
    #[serde(default)]
    pub adapters: Vec<ids::AdapterName>,
    /// The role.
    #[serde(default)]
    pub role: EngineRole,
    /// Milliseconds until the order expires.
    #[serde(default)]
    pub expires_in_ms: Option<i64>,
}

/// The answer of an engine to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order was applied.
    Accepted,
    /// The engine already has the higher generation given here.
    Fenced(epochs::GroupGeneration),
    /// The order had expired on arrival.
    Expired,
}
