//! The working copy of the placement during a planner run.

use std::collections;

use pier_types::{epochs, ids};

use crate::{placements, planning};

/// How far a reported generation may raise the counter in one run. The limit keeps an engine that
/// reports a wrong number from exhausting the range of generations.
const MAX_GENERATION_JUMP: u64 = 1_000_000;

/// A working copy of the placement, with the VMs that are not in any group.
#[derive(Debug, Clone)]
pub(super) struct PlanDraft<'a> {
    /// The input of the run.
    pub input: &'a planning::PlanInput<'a>,
    /// The planner's durations and thresholds.
    pub settings: &'a planning::PlannerSettings,
    /// The data centre's VMs.
    pub index: planning::VmIndex,
    /// The groups, by number.
    pub groups: collections::BTreeMap<u64, placements::GroupPlacement>,
    /// Usable VMs that are in no group, by domain.
    pub free: collections::BTreeMap<ids::DomainName, collections::BTreeSet<ids::VmName>>,
    /// The counters for group numbers and generations.
    pub counters: placements::PlacementCounters,
    /// What was changed and why.
    pub reasons: Vec<planning::PlanReason>,
}

impl<'a> PlanDraft<'a> {
    /// Creates a draft from the current placement.
    pub fn new(
        input: &'a planning::PlanInput<'a>,
        settings: &'a planning::PlannerSettings,
    ) -> Self {
        let mut draft = Self {
            input,
            settings,
            index: planning::VmIndex::build(input, settings),
            groups: input.present.groups().clone(),
            free: collections::BTreeMap::new(),
            counters: input.present.counters(),
            reasons: Vec::new(),
        };
        let last = draft.counters.last_generation.get();
        let plausible = epochs::GroupGeneration::new(last.saturating_add(MAX_GENERATION_JUMP));
        let seen = input.seen_generation.min(plausible);
        draft.counters.last_generation = draft.counters.last_generation.max(seen);
        draft.collect_free_vms();
        draft.add_input_reasons();
        draft
    }

    /// Returns the status of each member of a group, by rank.
    pub fn member_statuses(&self, group: u64) -> Vec<planning::MemberStatus> {
        let Some(placement) = self.groups.get(&group) else {
            return Vec::new();
        };
        self.slot_statuses(&placement.members, &placement.domain)
    }

    /// Returns the status of each slot of a group in `domain`.
    pub fn slot_statuses(
        &self,
        slots: &[placements::MemberSlot],
        domain: &ids::DomainName,
    ) -> Vec<planning::MemberStatus> {
        let status = |slot| {
            self.index
                .member_status(slot, domain, self.input, self.settings)
        };
        slots.iter().map(status).collect()
    }

    /// Returns the ranks of a group's members that are lost or restarted.
    pub fn failed_ranks(&self, group: u64) -> Vec<usize> {
        let statuses = self.member_statuses(group);
        let ranks = statuses
            .iter()
            .enumerate()
            .filter(|(_rank, status)| status.is_failed());
        ranks.map(|(rank, _fault)| rank).collect()
    }

    /// Returns how many free VMs a domain has.
    pub fn free_count(&self, domain: &ids::DomainName) -> usize {
        self.free.get(domain).map_or(0, collections::BTreeSet::len)
    }

    /// Removes a VM from the free VMs of a domain and returns its slot.
    pub fn take_free(&mut self, domain: &ids::DomainName) -> Option<placements::MemberSlot> {
        let name = self.free.get_mut(domain)?.pop_first()?;
        let vm = self.index.vm(&name)?;
        Some(vm.slot(name))
    }

    /// Adds a VM to the free VMs if it is usable.
    pub fn release_vm(&mut self, name: &ids::VmName) {
        let Some(vm) = self.index.vm(name).filter(|vm| vm.is_usable()) else {
            return;
        };
        let domain = self.free.entry(vm.domain.clone()).or_default();
        domain.insert(name.clone());
    }

    /// Ends a group and frees its VMs.
    pub fn remove_group(&mut self, group: u64) {
        let Some(placement) = self.groups.remove(&group) else {
            return;
        };
        for vm in placement.vms() {
            self.release_vm(vm);
        }
    }

    /// Sets a group's members under a new generation, and frees the VMs that it no longer uses.
    pub fn replace_members(&mut self, group: u64, members: Vec<placements::MemberSlot>) {
        let generation = self.counters.take_generation();
        let Some(placement) = self.groups.get_mut(&group) else {
            return;
        };
        let before: Vec<_> = placement.vms().into_iter().cloned().collect();
        placement.members = members;
        placement.generation = generation;
        placement.successor = None;
        let after: Vec<_> = placement.vms().into_iter().cloned().collect();
        for vm in before.iter().filter(|vm| !after.contains(vm)) {
            self.release_vm(vm);
        }
    }

    /// Returns the numbers of a model's groups.
    pub fn model_groups(&self, model: &ids::ModelName) -> Vec<u64> {
        let groups = self
            .groups
            .iter()
            .filter(|(_group, placement)| placement.model == *model);
        groups.map(|(group, _placement)| *group).collect()
    }

    /// Returns all group numbers.
    pub fn group_numbers(&self) -> Vec<u64> {
        self.groups.keys().copied().collect()
    }

    /// Records a change or a problem.
    pub fn add_reason(&mut self, reason: planning::PlanReason) {
        self.reasons.push(reason);
    }

    /// Collects the usable VMs that are in no group.
    fn collect_free_vms(&mut self) {
        let placed: collections::BTreeSet<_> =
            self.groups.values().flat_map(|group| group.vms()).collect();
        let usable = self
            .index
            .vms()
            .filter(|(name, vm)| vm.is_usable() && !placed.contains(name));
        for (name, vm) in usable {
            let domain = self.free.entry(vm.domain.clone()).or_default();
            domain.insert(name.clone());
        }
    }

    /// Records problems of the input: ambiguous VMs, domain outages and an unreliable view.
    fn add_input_reasons(&mut self) {
        let ambiguous = self.index.ambiguous().iter().cloned();
        self.reasons
            .extend(ambiguous.map(planning::PlanReason::VmAmbiguous));
        let held = self.index.held_domains().iter().cloned();
        self.reasons
            .extend(held.map(planning::PlanReason::DomainHeld));
        if self.index.is_view_doubtful() {
            self.reasons.push(planning::PlanReason::ViewDoubtful);
        }
    }
}
