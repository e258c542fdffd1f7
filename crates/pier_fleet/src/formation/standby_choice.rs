//! Chooses the models that standby VMs run.

use std::collections;

use pier_types::ids;

use crate::{documents, formation};

/// Chooses the model that one more standby VM of a domain should run.
///
/// Models of groups that lack members come first, then the model with the most members per standby
/// VM, since every member is equally likely to be lost. A model that several groups of the domain
/// run gets half the weight, because the survivors of one group are standby VMs for the others.
pub(super) fn choose_model<'a>(
    models: &'a [documents::ModelSpec],
    missing_members: &collections::BTreeMap<ids::ModelName, u32>,
    member_counts: &collections::BTreeMap<ids::ModelName, u32>,
    standby: &collections::BTreeMap<ids::ModelName, u32>,
    siblings: &collections::BTreeSet<ids::ModelName>,
) -> Option<&'a documents::ModelSpec> {
    let count = |map: &collections::BTreeMap<ids::ModelName, u32>, model: &ids::ModelName| {
        f64::from(map.get(model).copied().unwrap_or(0))
    };
    let need = |model: &documents::ModelSpec| {
        let missing = count(missing_members, &model.name) - count(standby, &model.name);
        let covered = count(member_counts, &model.name) / (count(standby, &model.name) + 1.0);
        let weight = if siblings.contains(&model.name) {
            0.5
        } else {
            1.0
        };
        (
            missing.max(0.0),
            covered * weight,
            // On a tie the model with the smaller groups is preferred: its broken groups leave
            // fewer survivors.
            -f64::from(model.size.get()),
        )
    };
    let runs = |model: &&documents::ModelSpec| {
        member_counts.contains_key(&model.name) || missing_members.contains_key(&model.name)
    };
    models.iter().filter(runs).max_by(|left, right| {
        need(left)
            .partial_cmp(&need(right))
            .unwrap_or(std::cmp::Ordering::Equal)
    })
}

/// Counts the standby VMs of each model.
pub(super) fn count_standby<'a>(
    free: impl Iterator<Item = &'a formation::MemberFacts>,
    models: &[documents::ModelSpec],
) -> collections::BTreeMap<ids::ModelName, u32> {
    let mut counts = collections::BTreeMap::new();
    for facts in free {
        let membership = facts.standing.membership.as_ref();
        let model = membership.and_then(|membership| {
            formation::group_model::group_model(&membership.group, &[facts], models)
        });
        if let Some(model) = model {
            *counts.entry(model.name.clone()).or_insert(0) += 1;
        }
    }
    counts
}
