//! Decides which domains are dedicated to one model.

use std::collections;

use pier_types::ids;

use crate::{documents, formation};

/// Fewest groups of a model for which a domain is dedicated to it, so that the survivors of a
/// broken group can serve as standby VMs for the others.
const MIN_DEDICATED_GROUPS: u32 = 2;

/// Capacity that a layout with dedicated domains must keep for its worst-served model, in percent
/// of the shared layout's.
const MIN_CAPACITY_PERCENT: f64 = 95.0;

/// Assigns a model to each domain, or returns an empty map if domains have to be shared.
///
/// A domain dedicated to one model needs standby VMs for that model only, and each survivor of a
/// broken group is a standby VM for the other groups. In a shared domain the available standby VM
/// often runs the other model and has to load weights first. `domains` holds the number of usable
/// VMs of each domain.
pub(super) fn assign_models(
    models: &[documents::ModelSpec],
    domains: &collections::BTreeMap<ids::DomainName, u32>,
) -> collections::BTreeMap<ids::DomainName, ids::ModelName> {
    let unassigned = collections::BTreeMap::new();
    if models.len() < 2 || domains.len() < models.len() {
        return unassigned;
    }
    let mut assigned = collections::BTreeMap::new();
    let mut counts = vec![0_u32; models.len()];
    let mut largest: Vec<_> = domains.iter().collect();
    largest.sort_by_key(|(_name, vms)| std::cmp::Reverse(**vms));
    for (domain, vms) in largest {
        let Some(index) = least_supplied(models, &counts, |model| {
            group_capacity(model, *vms) >= MIN_DEDICATED_GROUPS
        }) else {
            return unassigned;
        };
        counts[index] += group_capacity(&models[index], *vms);
        assigned.insert(domain.clone(), models[index].name.clone());
    }
    let shared = shared_counts(models, domains);
    let is_sufficient = lowest_supply(models, &counts) * 100.0
        >= lowest_supply(models, &shared) * MIN_CAPACITY_PERCENT;
    if is_sufficient { assigned } else { unassigned }
}

/// Returns how many groups of a model fit into a dedicated domain of `vms` VMs with one VM left as
/// standby.
fn group_capacity(model: &documents::ModelSpec, vms: u32) -> u32 {
    vms.saturating_sub(1) / model.size.get().max(1)
}

/// Returns the index of the model that is furthest below its share among those that fit; of two
/// equal ones, the model with the larger groups.
fn least_supplied(
    models: &[documents::ModelSpec],
    counts: &[u32],
    fits: impl Fn(&documents::ModelSpec) -> bool,
) -> Option<usize> {
    let fitting = (0..models.len()).filter(|index| fits(&models[*index]));
    fitting.min_by(|left, right| {
        let ratios = (
            supply_ratio(&models[*left], counts[*left]),
            supply_ratio(&models[*right], counts[*right]),
        );
        let by_size = models[*right].size.cmp(&models[*left].size);
        ratios.0.total_cmp(&ratios.1).then(by_size)
    })
}

/// Returns the number of groups of each model if every domain is shared and keeps one VM as
/// standby once it has a group.
fn shared_counts(
    models: &[documents::ModelSpec],
    domains: &collections::BTreeMap<ids::DomainName, u32>,
) -> Vec<u32> {
    let mut counts = vec![0; models.len()];
    for vms in domains.values() {
        let mut free = *vms;
        let mut reserve = 0;
        while let Some(index) =
            least_supplied(models, &counts, |model| free >= model.size.get() + reserve)
        {
            free -= models[index].size.get().max(1);
            counts[index] += 1;
            reserve = 1;
        }
    }
    counts
}

/// Returns `count` groups as a fraction of what the model's share of all VMs calls for.
fn supply_ratio(model: &documents::ModelSpec, count: u32) -> f64 {
    let wanted = (model.share / f64::from(model.size.get().max(1))).max(1e-6);
    f64::from(count) / wanted
}

fn lowest_supply(models: &[documents::ModelSpec], counts: &[u32]) -> f64 {
    let ratios = models.iter().zip(counts);
    let ratios = ratios.map(|(model, count)| supply_ratio(model, *count));
    ratios.fold(f64::INFINITY, f64::min)
}

impl formation::FormationPlanner {
    /// Assigns models to domains before the first group is formed. A planner that takes over
    /// derives the assignment from the existing groups. A domain that can no longer hold a group
    /// of its model becomes shared.
    pub(super) fn assign_domains(&mut self, input: &formation::FormationInput<'_>) {
        let models = &input.engine.models;
        let domains = usable_by_domain(input);
        if self.groups.is_empty() {
            self.assigned = assign_models(models, &domains);
        } else if self.assigned.is_empty() && !assign_models(models, &domains).is_empty() {
            self.assigned = self.dedicated_models(input);
        }
        self.assigned.retain(|domain, model| {
            let size = input.engine.model(model).map(|model| model.size.get());
            let usable = domains.get(domain).copied().unwrap_or(0);
            size.is_some_and(|size| usable >= size)
        });
    }

    /// Returns the model of each domain if in every domain all groups run the same model;
    /// otherwise an empty map.
    fn dedicated_models(
        &self,
        input: &formation::FormationInput<'_>,
    ) -> collections::BTreeMap<ids::DomainName, ids::ModelName> {
        let mut dedicated: collections::BTreeMap<_, ids::ModelName> = collections::BTreeMap::new();
        for group in self.groups.values() {
            let members = group.members.iter();
            for facts in members.filter_map(|member| input.facts.get(&member.vm)) {
                let known = dedicated.entry(facts.domain.clone());
                if *known.or_insert_with(|| group.model.clone()) != group.model {
                    return collections::BTreeMap::new();
                }
            }
        }
        dedicated
    }
}

fn usable_by_domain(
    input: &formation::FormationInput<'_>,
) -> collections::BTreeMap<ids::DomainName, u32> {
    let mut domains = collections::BTreeMap::new();
    for facts in input.facts.values().filter(|facts| facts.is_usable()) {
        *domains.entry(facts.domain.clone()).or_insert(0) += 1;
    }
    domains
}
