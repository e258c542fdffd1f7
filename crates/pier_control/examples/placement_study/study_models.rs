//! The models that are deployed in the study.

use pier_control::{placements, planning};
use pier_types::{ids, sizes};

use crate::study_rates;

/// Creates a wanted model from its name, number of replicas and number of VMs in each replica.
pub fn wanted_model(
    (model, replicas, members): (&str, u32, u32),
) -> (ids::ModelName, planning::WantedModel) {
    let model: ids::ModelName = model.parse().unwrap();
    let recipe = placements::GroupRecipe {
        version: "v1".parse().unwrap(),
        adapters: Vec::new(),
        prefill: 0,
    };
    let wanted = planning::WantedModel {
        model: model.clone(),
        replicas,
        members,
        recipe,
        weight_bytes: sizes::ByteSize::new(study_rates::WEIGHT_BYTES),
    };
    (model, wanted)
}
