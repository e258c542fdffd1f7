//! The models and VMs that the planner gets from the configuration.

use std::collections;

use pier_config::documents;
use pier_control::{placements, planning};
use pier_types::{ids, vms};

/// Returns the replicas of each model that a data centre should run.
///
/// A data centre that is out of service keeps its groups, so that it can return at once. Returns
/// `None` for one that the document does not name; its groups are then left as they are.
pub fn wanted_models(
    document: &documents::ConfigDocument,
    data_centre: &ids::DataCentreName,
) -> Option<collections::BTreeMap<ids::ModelName, planning::WantedModel>> {
    let section = document.data_centres.get(data_centre)?;
    let wanted = section.replicas.iter().filter_map(|(model, replicas)| {
        let section = document.models.get(model)?;
        let wanted = planning::WantedModel {
            model: model.clone(),
            replicas: replicas.get(),
            members: section.members.get(),
            recipe: group_recipe(section),
            weight_bytes: section.weight_bytes,
        };
        Some((model.clone(), wanted))
    });
    Some(wanted.collect())
}

/// Returns the VMs as input of the planner; one that operators are draining counts as leaving.
pub(super) fn planned_vms(
    list: &collections::BTreeMap<ids::VmName, vms::VmEntry>,
    document: &documents::ConfigDocument,
) -> Vec<vms::VmEntry> {
    let entries = list.values().cloned().map(|mut entry| {
        if document.drained.contains_key(&entry.name) {
            entry.state = vms::VmState::Leaving;
        }
        entry
    });
    entries.collect()
}

/// Returns the version, adapters and roles that the groups of a model run with.
fn group_recipe(section: &documents::ModelSection) -> placements::GroupRecipe {
    let prefill = match section.roles {
        documents::RoleLayout::Unified => 0,
        documents::RoleLayout::Split { prefill, .. } => prefill.get(),
    };
    placements::GroupRecipe {
        version: section.version.clone().into(),
        adapters: section.adapters.clone(),
        prefill,
    }
}
