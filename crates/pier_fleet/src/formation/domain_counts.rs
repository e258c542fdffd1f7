//! Counts over a domain: its free VMs, and the members that its groups have and lack.

use std::{collections, time};

use pier_types::{ids, times};

use crate::{documents, formation};

/// How long no VM must have been added to a domain before new groups are formed in it. VMs that
/// start together register one after the other, and without this wait the first ones would all go
/// to the smallest model.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(500);

impl formation::DomainPlan<'_> {
    /// Returns whether groups may be formed. The first groups wait until all domains are settled,
    /// because models are assigned to domains at that point.
    pub(super) fn is_settled(&self) -> bool {
        let is_old = |at: &times::BootTime| self.now.since(*at) >= SETTLE_TIME;
        if self.planner.groups.is_empty() {
            return self.planner.vm_added_at.values().all(is_old);
        }
        let vm_added_at = self.planner.vm_added_at.get(self.domain);
        vm_added_at.is_none_or(is_old)
    }

    pub(super) fn group_names(&self) -> Vec<ids::GroupName> {
        let is_here = |group: &formation::PlannedGroup| {
            group.members.iter().any(|member| {
                let facts = self.input.facts.get(&member.vm);
                facts.is_some_and(|facts| facts.domain == *self.domain)
            })
        };
        let groups = self.planner.groups.iter();
        groups
            .filter(|(_name, group)| is_here(group))
            .map(|(name, _group)| name.clone())
            .collect()
    }

    pub(super) fn planned_member(&self, vm: &ids::VmName) -> formation::PlannedMember {
        let facts = self.input.facts.get(vm);
        formation::PlannedMember {
            vm: vm.clone(),
            born: facts.map(|facts| facts.standing.born).unwrap_or_default(),
            was_member: false,
        }
    }

    /// Returns the usable VMs of the domain that are in no group.
    pub(super) fn free_vms(&self) -> Vec<ids::VmName> {
        let is_planned = |vm: &ids::VmName| {
            let mut groups = self.planner.groups.values();
            groups.any(|group| group.contains(vm))
        };
        let facts = self.input.facts.values();
        let free = facts.filter(|facts| {
            facts.domain == *self.domain
                && facts.is_usable()
                && !is_planned(&facts.vm)
                && !self.planner.is_unadopted(facts)
        });
        free.map(|facts| facts.vm.clone()).collect()
    }

    /// Returns the free VMs, ordered by how soon they can run the model.
    pub(super) fn free_pool(&self, model: &documents::ModelSpec) -> Vec<ids::VmName> {
        let mut pool = self.free_vms();
        pool.sort_by_key(|vm| self.load_distance(vm, model));
        pool
    }

    /// Returns the free VMs that need not load the model's weights from the shared store.
    pub(super) fn ready_pool(&self, model: &documents::ModelSpec) -> Vec<ids::VmName> {
        let mut pool = self.free_pool(model);
        pool.retain(|vm| self.load_distance(vm, model) < 2);
        pool
    }

    pub(super) fn load_distance(&self, vm: &ids::VmName, model: &documents::ModelSpec) -> u8 {
        let facts = self.input.facts.get(vm);
        facts.map_or(u8::MAX, |facts| facts.load_distance(model))
    }

    /// Returns how many members are missing in the groups of each model.
    pub(super) fn missing_members(&self) -> collections::BTreeMap<ids::ModelName, u32> {
        let mut missing_members = collections::BTreeMap::new();
        for name in self.group_names() {
            let Some(group) = self
                .planner
                .groups
                .get(&name)
                .filter(|group| !group.is_complete)
            else {
                continue;
            };
            let Some(model) = self.input.engine.model(&group.model) else {
                continue;
            };
            let usable = group.members.iter().filter(|member| {
                let facts = self.input.facts.get(&member.vm);
                facts.is_some_and(formation::MemberFacts::is_usable)
            });
            let usable = u32::try_from(usable.count()).unwrap_or(u32::MAX);
            let missing = model.size.get().saturating_sub(usable);
            *missing_members.entry(model.name.clone()).or_insert(0) += missing;
        }
        missing_members
    }

    /// Returns the models that more than one group of the domain runs.
    pub(super) fn sibling_models(&self) -> collections::BTreeSet<ids::ModelName> {
        let names = self.group_names();
        let groups = names
            .iter()
            .filter_map(|name| self.planner.groups.get(name));
        let mut seen = collections::BTreeSet::new();
        let repeated = groups.filter(|group| !seen.insert(group.model.clone()));
        repeated.map(|group| group.model.clone()).collect()
    }

    /// Returns how many members the groups of each model have in total.
    pub(super) fn member_counts(&self) -> collections::BTreeMap<ids::ModelName, u32> {
        let mut member_counts = collections::BTreeMap::new();
        for name in self.group_names() {
            if let Some(group) = self.planner.groups.get(&name) {
                let count = u32::try_from(group.members.len()).unwrap_or(u32::MAX);
                *member_counts.entry(group.model.clone()).or_insert(0) += count;
            }
        }
        member_counts
    }
}
