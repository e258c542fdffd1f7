//! Rolls out new versions, adapters and roles while at most one replica is out of service.

use crate::planning;

/// Returns whether some group of a model does not have the wanted recipe and size yet.
pub(super) fn is_rolling(draft: &planning::PlanDraft<'_>, wanted: &planning::WantedModel) -> bool {
    !outdated_groups(draft, wanted).is_empty()
}

/// Takes the next step of each model's rollout.
pub(super) fn roll_out(draft: &mut planning::PlanDraft<'_>) {
    let wanted: Vec<_> = draft.input.wanted.values().collect();
    for wanted in wanted {
        roll_out_model(draft, wanted);
    }
}

/// Takes the next rollout step for one model.
///
/// Outdated groups that do not serve are changed at once. Serving groups are changed one at a time:
/// in place if they keep their weights or there is no room for an extra group, otherwise they are
/// removed once an extra group serves. At most one replica is out of service at any time.
fn roll_out_model(draft: &mut planning::PlanDraft<'_>, wanted: &planning::WantedModel) {
    let outdated = outdated_groups(draft, wanted);
    let is_serving = |group: &u64| draft.input.serving.contains_key(group);
    let groups = draft.model_groups(&wanted.model);
    let serving = groups.iter().filter(|group| is_serving(group)).count();
    let replicas = wanted.replicas as usize;
    let (active, idle): (Vec<_>, Vec<_>) =
        outdated.into_iter().partition(|group| is_serving(group));
    for group in idle {
        change_group(draft, group, wanted);
    }
    let Some(group) = active.first().copied() else {
        return;
    };
    if serving > replicas {
        draft.remove_group(group);
        draft.add_reason(planning::PlanReason::Removed(group));
    } else if serving == replicas && keeps_weights(draft, group, wanted) {
        change_group(draft, group, wanted);
    } else if serving == replicas && groups.len() == replicas {
        replace_group(draft, group, wanted);
    }
}

/// Forms an extra group if there is room, otherwise changes a serving group in place.
fn replace_group(draft: &mut planning::PlanDraft<'_>, group: u64, wanted: &planning::WantedModel) {
    if planning::domain_choice::has_room(draft, wanted.members as usize) {
        planning::replica_step::form_group(draft, wanted);
    } else {
        change_group(draft, group, wanted);
    }
}

/// Changes a group to the wanted recipe. A group of the wrong size is removed, so that a later step
/// forms a new one.
fn change_group(draft: &mut planning::PlanDraft<'_>, group: u64, wanted: &planning::WantedModel) {
    let Some(placement) = draft.groups.get_mut(&group) else {
        return;
    };
    if placement.members.len() != wanted.members as usize {
        draft.remove_group(group);
        draft.add_reason(planning::PlanReason::Removed(group));
        return;
    }
    let has_version = placement.recipe.version == wanted.recipe.version;
    let keeps_weights = has_version && placement.recipe.adapters == wanted.recipe.adapters;
    placement.recipe = wanted.recipe.clone();
    let members = placement.members.clone();
    draft.replace_members(group, members);
    if let Some(placement) = draft.groups.get_mut(&group).filter(|_group| !keeps_weights) {
        placement.weights_from = placement.generation;
    }
    draft.add_reason(planning::PlanReason::Updated(group));
}

/// Returns whether a group can change to the wanted recipe without reloading the model's weights.
fn keeps_weights(
    draft: &planning::PlanDraft<'_>,
    group: u64,
    wanted: &planning::WantedModel,
) -> bool {
    draft.groups.get(&group).is_some_and(|placement| {
        let has_size = placement.members.len() == wanted.members as usize;
        has_size && placement.recipe.version == wanted.recipe.version
    })
}

/// Returns the groups of a model whose recipe or size is not the wanted one.
fn outdated_groups(draft: &planning::PlanDraft<'_>, wanted: &planning::WantedModel) -> Vec<u64> {
    let groups = draft.groups.iter().filter(|(_group, placement)| {
        let has_size = placement.members.len() == wanted.members as usize;
        placement.model == wanted.model && (placement.recipe != wanted.recipe || !has_size)
    });
    groups.map(|(group, _placement)| *group).collect()
}
