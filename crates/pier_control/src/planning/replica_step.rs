//! Removes and forms groups until each model has the configured number of replicas.

use std::{cmp, collections};

use pier_types::ids;

use crate::{placements, planning};

/// Removes the surplus groups of each model. During a rollout one extra group is allowed.
pub(super) fn remove_surplus(draft: &mut planning::PlanDraft<'_>) {
    let groups = draft.groups.values();
    let models: collections::BTreeSet<_> = groups.map(|group| group.model.clone()).collect();
    for model in models {
        let wanted = draft.input.wanted.get(&model);
        let allowed = wanted.map_or(0, |wanted| wanted.replicas as usize);
        let is_rolling =
            wanted.is_some_and(|wanted| planning::rollout_step::is_rolling(draft, wanted));
        let allowed = allowed + usize::from(is_rolling && allowed > 0);
        let mut surplus = removal_order(draft, &model);
        surplus.truncate(surplus.len().saturating_sub(allowed));
        for group in surplus {
            draft.remove_group(group);
            draft.add_reason(planning::PlanReason::Removed(group));
        }
    }
}

/// Returns a model's groups in the order in which they are removed: groups that do not serve first,
/// then those with an old recipe, then the least loaded, then the newest.
pub(super) fn removal_order(draft: &planning::PlanDraft<'_>, model: &ids::ModelName) -> Vec<u64> {
    let mut groups = draft.model_groups(model);
    groups.sort_by_key(|group| {
        let load = draft.input.serving.get(group).copied();
        let recipe = draft.input.wanted.get(model).map(|wanted| &wanted.recipe);
        let is_current = draft.groups.get(group).map(|group| &group.recipe) == recipe;
        (load.is_some(), is_current, load, cmp::Reverse(*group))
    });
    groups
}

/// Forms groups until each model has its replicas or no further group fits.
///
/// The number of groups to form for each model is found by need: the model with the smallest share
/// of its replicas comes first. The domains are then chosen by size, largest groups first, which
/// packs better. If that order forms fewer groups, the result of the first order is used.
pub(super) fn form_missing(draft: &mut planning::PlanDraft<'_>) {
    if neediest_model(draft, &collections::BTreeSet::new()).is_none() {
        return;
    }
    let mut by_need = draft.clone();
    form_by_need(&mut by_need);
    let mut by_size = draft.clone();
    form_by_size(&mut by_size, &by_need);
    if by_size.groups.len() == by_need.groups.len() {
        let blocked = by_need.reasons.into_iter();
        let blocked =
            blocked.filter(|reason| matches!(reason, planning::PlanReason::Unplaceable(_)));
        by_size.reasons.extend(blocked);
        *draft = by_size;
    } else {
        *draft = by_need;
    }
}

/// Forms groups one at a time, always for the model with the smallest share of its replicas; of
/// equal models, the one with larger groups comes first.
fn form_by_need(draft: &mut planning::PlanDraft<'_>) {
    let mut blocked = collections::BTreeSet::new();
    while let Some(wanted) = neediest_model(draft, &blocked) {
        if form_group(draft, wanted).is_none() {
            blocked.insert(&wanted.model);
            draft.add_reason(planning::PlanReason::Unplaceable(wanted.model.clone()));
        }
    }
}

/// Forms as many groups of each model as `goal` has, models with the largest groups first.
fn form_by_size(draft: &mut planning::PlanDraft<'_>, goal: &planning::PlanDraft<'_>) {
    let mut models: Vec<_> = draft.input.wanted.values().collect();
    models.sort_by_key(|wanted| cmp::Reverse(wanted.members));
    for wanted in models {
        let current = draft.model_groups(&wanted.model).len();
        for _missing in current..goal.model_groups(&wanted.model).len() {
            form_group(draft, wanted);
        }
    }
}

/// Returns the model with the smallest share of its replicas placed, except those in `blocked`.
fn neediest_model<'a>(
    draft: &planning::PlanDraft<'a>,
    blocked: &collections::BTreeSet<&ids::ModelName>,
) -> Option<&'a planning::WantedModel> {
    let wanted = draft.input.wanted.values();
    let open = wanted.filter(|wanted| wanted.members > 0 && !blocked.contains(&wanted.model));
    open.filter_map(|wanted| {
        let placed = draft.model_groups(&wanted.model).len();
        let replicas = wanted.replicas as usize;
        (placed < replicas).then(|| {
            (
                placed * 1_000 / replicas,
                cmp::Reverse(wanted.members),
                wanted,
            )
        })
    })
    .min_by_key(|(permille, members, _wanted)| (*permille, *members))
    .map(|(_permille, _members, wanted)| wanted)
}

/// Forms one group in the best domain and returns its number, or `None` if no domain has room.
pub(super) fn form_group(
    draft: &mut planning::PlanDraft<'_>,
    wanted: &planning::WantedModel,
) -> Option<u64> {
    let size = wanted.members as usize;
    let largest = draft
        .input
        .wanted
        .values()
        .map(|wanted| wanted.members as usize)
        .max();
    let domain = planning::domain_choice::choose_domain(draft, size, largest.unwrap_or(size))?;
    let members: Vec<_> = (0..size)
        .filter_map(|_rank| draft.take_free(&domain))
        .collect();
    let group = draft.counters.take_number();
    let generation = draft.counters.take_generation();
    let placement = placements::GroupPlacement {
        model: wanted.model.clone(),
        recipe: wanted.recipe.clone(),
        domain,
        generation,
        weights_from: generation,
        members,
        successor: None,
    };
    draft.groups.insert(group, placement);
    draft.add_reason(planning::PlanReason::Formed(group));
    Some(group)
}
