//! The configured deployment of a model in a data centre.

use pier_types::{ids, sizes};

use crate::placements;

/// A model with the replicas that the configuration asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WantedModel {
    /// The model.
    pub model: ids::ModelName,
    /// Number of replica groups.
    pub replicas: u32,
    /// Number of VMs in one group, at least 1.
    pub members: u32,
    /// The version, adapters and roles that each group runs.
    pub recipe: placements::GroupRecipe,
    /// Number of bytes that one VM reads from the weight store.
    pub weight_bytes: sizes::ByteSize,
}
