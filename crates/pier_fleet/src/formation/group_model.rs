//! Which model a group runs.

use std::collections;

use pier_types::ids;

use crate::{documents, formation};

/// Returns the model of a group, from what its members report.
///
/// Members that have joined report the model that they run; most of them decide. A member that still
/// joins may report the model of its last group, so that its report counts only if the group's whole
/// name fits no model.
pub(super) fn group_model<'a>(
    name: &ids::GroupName,
    members: &[&formation::MemberFacts],
    models: &'a [documents::ModelSpec],
) -> Option<&'a documents::ModelSpec> {
    let settled = members.iter().filter_map(|facts| facts.settled_model());
    let reported = members
        .iter()
        .filter_map(|facts| facts.standing.running.as_ref());
    let spec = |name: &ids::ModelName| models.iter().find(|model| model.name == *name);
    if let Some(settled) = most_frequent(settled) {
        return spec(settled);
    }
    let first = members.first()?;
    formation::group_naming::named_model(name, &first.domain, &first.vm, models)
        .or_else(|| most_frequent(reported).and_then(spec))
}

/// Returns the model that a standby VM runs or is about to run; `None` for other VMs.
pub(super) fn standby_model<'a>(
    facts: &formation::MemberFacts,
    models: &'a [documents::ModelSpec],
) -> Option<&'a documents::ModelSpec> {
    let membership = facts.standing.membership.as_ref()?;
    if !formation::group_naming::is_standby(&membership.group, &facts.vm) {
        return None;
    }
    group_model(&membership.group, &[facts], models)
}

fn most_frequent<'a>(
    names: impl Iterator<Item = &'a ids::ModelName>,
) -> Option<&'a ids::ModelName> {
    let mut counts: collections::BTreeMap<_, u32> = collections::BTreeMap::new();
    for name in names {
        *counts.entry(name).or_default() += 1;
    }
    let most = counts.into_iter().max_by_key(|(_name, count)| *count);
    most.map(|(name, _count)| name)
}
