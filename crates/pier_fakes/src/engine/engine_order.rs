//! Orders to an engine.

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

/// What part of an answer a group works on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineRole {
    /// Reads prompts and writes answers.
    #[default]
    Unified,
    /// Reads prompts.
    Prefill,
    /// Writes answers.
    Decode,
}

/// One order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// What it asks for.
    pub kind: OrderKind,
    /// The group that it concerns.
    pub group: ids::GroupId,
    /// The group's generation: the fencing number.
    pub generation: epochs::GroupGeneration,
    /// The engine's place in the group; place 0 receives requests.
    #[serde(default)]
    pub rank: u32,
    /// The group's members in the order of their places.
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
    /// Milliseconds until the order must not be obeyed any more.
    #[serde(default)]
    pub expires_in_ms: Option<i64>,
}

/// How an engine answers an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// Obeyed.
    Accepted,
    /// A higher generation was seen before.
    Fenced(epochs::GroupGeneration),
    /// It arrived too late.
    Expired,
}
