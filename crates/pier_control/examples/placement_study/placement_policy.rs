//! The planner of this crate and the two baselines that it is compared with.

use std::collections;

use pier_control::{placements, planning};
use pier_types::vms;

/// How groups are placed and repaired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// The planner of this crate: keeps spares, repairs groups in place and prepares successors
    /// before members leave.
    Repair,
    /// The planner's choice of domains, but a group that lost a member ends and is formed again.
    Rebuild,
    /// Uses the first domain with enough VMs and keeps no spares; replaces lost members once all of
    /// them can be replaced.
    FirstFit,
}

impl PlacementPolicy {
    /// Plans the next placement.
    pub fn plan(self, input: &planning::PlanInput<'_>) -> placements::DataCentrePlacement {
        match self {
            Self::Repair => make(input),
            Self::Rebuild => rebuild(input),
            Self::FirstFit => first_fit(input),
        }
    }
}

fn make(input: &planning::PlanInput<'_>) -> placements::DataCentrePlacement {
    let plan = planning::PlacementPlan::make(input, &planning::PlannerSettings::default()).unwrap();
    plan.placement
}

/// Returns whether a member has to be replaced, after the same delay as in the planner.
fn is_lost(input: &planning::PlanInput<'_>, slot: &placements::MemberSlot) -> bool {
    let delay = planning::PlannerSettings::default().repair_delay;
    match input.conditions.get(&slot.vm) {
        Some(planning::VmCondition::Unreachable { since }) => input.now.since(*since) >= delay,
        Some(condition) => condition.incarnation() != Some(slot.incarnation),
        None => true,
    }
}

fn rebuild(input: &planning::PlanInput<'_>) -> placements::DataCentrePlacement {
    let mut groups = input.present.groups().clone();
    groups.retain(|_number, group| !group.members.iter().any(|slot| is_lost(input, slot)));
    let present = with_groups(input, input.present.counters(), groups);
    // This baseline prepares no successors: a VM that is leaving is used until it is gone.
    let entries = input.vms.iter().cloned();
    let entries: Vec<_> = entries
        .map(|entry| vms::VmEntry {
            state: vms::VmState::Live,
            ..entry
        })
        .collect();
    make(&planning::PlanInput {
        present: &present,
        vms: &entries,
        ..*input
    })
}

fn first_fit(input: &planning::PlanInput<'_>) -> placements::DataCentrePlacement {
    let mut counters = input.present.counters();
    let mut groups = input.present.groups().clone();
    let placed: collections::BTreeSet<_> = groups
        .values()
        .flat_map(|group| group.vms())
        .cloned()
        .collect();
    let mut free: collections::BTreeMap<_, Vec<placements::MemberSlot>> =
        collections::BTreeMap::new();
    for entry in input
        .vms
        .iter()
        .filter(|entry| !placed.contains(&entry.name))
    {
        let slot = placements::MemberSlot {
            vm: entry.name.clone(),
            incarnation: entry.incarnation,
            address: entry.address,
        };
        if !is_lost(input, &slot) {
            free.entry(entry.domain.clone()).or_default().push(slot);
        }
    }
    for group in groups.values_mut() {
        let spares = free.entry(group.domain.clone()).or_default();
        let lost: Vec<_> = (0..group.members.len())
            .filter(|rank| is_lost(input, &group.members[*rank]))
            .collect();
        let mut members = group.members.clone();
        let mut is_whole = true;
        for rank in &lost {
            let slot = &members[*rank];
            let reborn = input
                .conditions
                .get(&slot.vm)
                .and_then(planning::VmCondition::incarnation);
            let own = reborn.map(|incarnation| placements::MemberSlot {
                incarnation,
                ..slot.clone()
            });
            match own.or_else(|| spares.pop()) {
                Some(spare) => members[*rank] = spare,
                None => is_whole = false,
            }
        }
        if !lost.is_empty() && is_whole {
            group.members = members;
            group.generation = counters.take_generation();
        }
    }
    for wanted in input.wanted.values() {
        let size = wanted.members as usize;
        let placed = groups
            .values()
            .filter(|group| group.model == wanted.model)
            .count();
        for _missing in placed..wanted.replicas as usize {
            let Some((domain, spares)) = free
                .iter_mut()
                .find(|(_domain, spares)| spares.len() >= size)
            else {
                break;
            };
            let members = spares.split_off(spares.len() - size);
            let generation = counters.take_generation();
            let group = placements::GroupPlacement {
                model: wanted.model.clone(),
                recipe: wanted.recipe.clone(),
                domain: domain.clone(),
                generation,
                weights_from: generation,
                members,
                successor: None,
            };
            groups.insert(counters.take_number(), group);
        }
    }
    with_groups(input, counters, groups)
}

fn with_groups(
    input: &planning::PlanInput<'_>,
    counters: placements::PlacementCounters,
    groups: collections::BTreeMap<u64, placements::GroupPlacement>,
) -> placements::DataCentrePlacement {
    let data_centre = input.present.data_centre().clone();
    placements::DataCentrePlacement::new(data_centre, input.term, counters, groups).unwrap()
}
