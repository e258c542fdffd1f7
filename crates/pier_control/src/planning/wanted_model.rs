//! What a data centre is to run of one model.

use pier_types::{ids, sizes};

use crate::placements;

/// The replicas of a model that the configuration asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WantedModel {
    /// The model.
    pub model: ids::ModelName,
    /// Number of replica groups.
    pub replicas: u32,
    /// VMs in one group, at least 1.
    pub members: u32,
    /// What each group runs.
    pub recipe: placements::GroupRecipe,
    /// What one VM reads from the weight store.
    pub weight_bytes: sizes::ByteSize,
}
