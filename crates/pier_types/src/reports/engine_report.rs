//! One report of an engine or a plain service.

use serde::{Deserialize, Serialize};

use crate::{epochs, ids, reports, sizes};

/// What one VM's engine says of itself; loads lag behind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The VM that reports.
    pub vm: ids::VmName,
    /// Its incarnation; a restart of the engine process raises it.
    pub incarnation: epochs::VmIncarnation,
    /// The group whose order it last obeyed.
    pub group: Option<ids::GroupId>,
    /// The generation of that order.
    pub generation: epochs::GroupGeneration,
    /// The model it holds or loads.
    pub model: Option<ids::ModelName>,
    /// How warm it is.
    pub state: reports::EngineState,
    /// Requests it runs now.
    pub running: sizes::RequestCount,
    /// Requests that wait in it.
    pub queued: sizes::RequestCount,
    /// Whether it is about to leave and wants no new work; the VM list may tell so later, or never
    /// reach a node that is cut off.
    #[serde(default)]
    pub is_leaving: bool,
}
