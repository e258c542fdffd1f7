//! Size and timing of a model that replica groups run.

use std::time;

use pier_types::{ids, sizes};
use serde::{Deserialize, Serialize};

/// Size of a model's replica groups and its timing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// Name of the model.
    pub name: ids::ModelName,
    /// VMs in one group.
    pub size: sizes::VmCount,
    /// Share of all VMs that the model's groups should use, 0 to 1.
    pub share: f64,
    /// Factor on all published times of the engine; above 1 is slower.
    pub pace: f64,
    /// Time to load the weights from the shared store.
    pub load_time: time::Duration,
    /// Time to start a member whose host already holds the weights.
    pub warm_time: time::Duration,
}
