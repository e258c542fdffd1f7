//! The status report of an engine or a plain service.

use serde::{Deserialize, Serialize};

use crate::{epochs, ids, reports, sizes};

/// Status reported by the engine of one VM; its load figures may be out of date.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The reporting VM.
    pub vm: ids::VmName,
    /// Its incarnation, which increases when the engine process restarts.
    pub incarnation: epochs::VmIncarnation,
    /// The group of the last order that it carried out.
    pub group: Option<ids::GroupId>,
    /// The generation of that order.
    pub generation: epochs::GroupGeneration,
    /// The model that it has loaded or is loading.
    pub model: Option<ids::ModelName>,
    /// How far the engine is from full capacity.
    pub state: reports::EngineState,
    /// Number of running requests.
    pub running: sizes::RequestCount,
    /// Number of requests in its queue.
    pub queued: sizes::RequestCount,
    /// Whether the VM is about to be removed and wants no new work. The VM list may show this
    /// later, or never reach a node that is partitioned from the platform.
    #[serde(default)]
    pub is_leaving: bool,
}
