//! A model that replica groups run.

use std::time;

use pier_types::{ids, sizes};

/// How many VMs one copy of a model takes and how fast it is.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// Name of the model.
    pub name: ids::ModelName,
    /// VMs of one group.
    pub size: sizes::VmCount,
    /// Part of all VMs that the model's groups should take, 0 to 1.
    pub share: f64,
    /// Factor on all published times of the engine.
    pub pace: f64,
    /// Time to load the weights from the shared store.
    pub load_time: time::Duration,
    /// Time to start a member whose host holds the weights.
    pub warm_time: time::Duration,
}
