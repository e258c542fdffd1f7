//! The planner of one data centre's replica groups.

use std::{collections, time};

use pier_types::{epochs, ids, times};

use crate::{budgets, formation, targets};

/// How long to wait for the missing members of a partly reported group. VMs register again one
/// after the other when the store, or the path to it, is back.
const ADOPTION_WAIT: time::Duration = time::Duration::from_secs(2);

/// How long the members of a new group may take to become ready if no weights are loaded.
const FORMING_TIME: time::Duration = time::Duration::from_millis(2_500);

/// Size of the range of generations that is reserved for each term.
const GENERATIONS_PER_TERM: u64 = 1_000_000;

/// Plans groups from the status that VMs report, and returns the orders that are due.
///
/// It keeps the member lists that it ordered; a planner that takes over rebuilds them from the
/// VMs' status. Each order names the number of orders that the VM must have taken, so an order
/// that arrives late, or from a former planner, has no effect.
#[derive(Debug, Clone)]
pub struct FormationPlanner {
    pub(super) groups: collections::BTreeMap<ids::GroupName, formation::PlannedGroup>,
    pub(super) last_generation: u64,
    pub(super) load_budget: budgets::LoadBudget,
    pub(super) limits_loads: bool,
    /// When a new VM was last seen in each domain.
    pub(super) vm_added_at: collections::BTreeMap<ids::DomainName, times::BootTime>,
    /// The model of each domain that is dedicated to one model.
    pub(super) assigned: collections::BTreeMap<ids::DomainName, ids::ModelName>,
    /// When a group was last formed or re-formed.
    pub(super) formed_at: Option<times::BootTime>,
    seen: collections::BTreeSet<(ids::VmName, epochs::VmIncarnation)>,
    /// When each group that this planner does not know yet was first seen partly reported.
    partial_since: collections::BTreeMap<ids::GroupName, times::BootTime>,
}

impl FormationPlanner {
    /// Creates the planner of a term.
    pub const fn new(term: epochs::LeaseTerm, now: times::BootTime) -> Self {
        Self {
            groups: collections::BTreeMap::new(),
            last_generation: term.get().saturating_mul(GENERATIONS_PER_TERM),
            load_budget: budgets::LoadBudget::new(now),
            limits_loads: true,
            vm_added_at: collections::BTreeMap::new(),
            assigned: collections::BTreeMap::new(),
            formed_at: None,
            seen: collections::BTreeSet::new(),
            partial_since: collections::BTreeMap::new(),
        }
    }

    /// Sets the rate per second and burst of weight loads. `None` means that loads are not limited
    /// yet; they are once any request was served.
    pub fn set_load_rate(&mut self, rate: Option<(f64, f64)>) {
        self.limits_loads = rate.is_some();
        if let Some((per_second, burst)) = rate {
            self.load_budget.set_rate(per_second, burst);
        }
    }

    /// Returns the first members of groups that are about to be re-formed and accept no new
    /// requests.
    pub fn retiring(&self) -> collections::BTreeSet<ids::VmName> {
        let groups = self.groups.values();
        let retiring = groups.filter(|group| group.retiring_since.is_some());
        let heads = retiring.filter_map(|group| group.members.first());
        heads.map(|member| member.vm.clone()).collect()
    }

    /// Returns whether a group was formed recently and not yet ordered to open. Groups that take
    /// longer because their members load weights do not count.
    pub fn is_forming(&self, now: times::BootTime) -> bool {
        let is_fresh = self
            .formed_at
            .is_some_and(|at| now.since(at) < FORMING_TIME);
        let mut groups = self.groups.values();
        is_fresh && groups.any(|group| group.is_complete && group.opened_at.is_none())
    }

    /// Raises the last generation to one that a VM has already seen, after it refused a lower one.
    pub fn raise_generation(&mut self, seen: epochs::GroupGeneration) {
        self.last_generation = self.last_generation.max(seen.get());
    }

    /// Assigns a new generation to a group, after a VM refused the current one.
    pub fn renew_generation(&mut self, group: &ids::GroupName) {
        let generation = self.next_generation();
        if let Some(group) = self.groups.get_mut(group) {
            group.generation = generation;
            group.opened_at = None;
            for member in &mut group.members {
                member.was_member = false;
            }
        }
    }

    /// Returns the orders that are due.
    pub fn plan(
        &mut self,
        input: &formation::FormationInput<'_>,
        now: times::BootTime,
    ) -> Vec<formation::GroupOrder> {
        self.record_new_vms(input, now);
        self.adopt(input, now);
        self.assign_domains(input);
        let mut orders = Vec::new();
        let domains: collections::BTreeSet<_> = input
            .facts
            .values()
            .map(|facts| facts.domain.clone())
            .collect();
        for domain in &domains {
            let mut plan = formation::DomainPlan::new(self, input, domain, now);
            plan.update_groups();
            plan.form_groups();
            plan.prepare_standby();
            orders.append(&mut plan.orders);
        }
        self.groups.retain(|_name, group| !group.members.is_empty());
        orders
    }

    pub(super) fn next_generation(&mut self) -> epochs::GroupGeneration {
        self.last_generation = self.last_generation.saturating_add(1);
        epochs::GroupGeneration::new(self.last_generation)
    }

    /// Takes one load from the budget; always succeeds while loads are not limited.
    pub(super) fn take_load(&mut self, now: times::BootTime) -> bool {
        !self.limits_loads || self.load_budget.take(now)
    }

    /// Records when a new VM appears in a domain.
    fn record_new_vms(&mut self, input: &formation::FormationInput<'_>, now: times::BootTime) {
        for facts in input.facts.values() {
            if self.seen.insert((facts.vm.clone(), facts.standing.born)) {
                self.vm_added_at.insert(facts.domain.clone(), now);
            }
        }
        let facts = input.facts;
        self.seen.retain(|(vm, _born)| facts.contains_key(vm));
    }

    /// Returns whether a VM reports a group that this planner has not adopted yet.
    pub(super) fn is_unadopted(&self, facts: &formation::MemberFacts) -> bool {
        let membership = facts.standing.membership.as_ref();
        membership.is_some_and(|membership| self.partial_since.contains_key(&membership.group))
    }

    /// Adopts groups that VMs report and this planner does not know.
    fn adopt(&mut self, input: &formation::FormationInput<'_>, now: times::BootTime) {
        let mut unknown = collections::BTreeSet::new();
        for facts in input.facts.values() {
            let Some(membership) = &facts.standing.membership else {
                continue;
            };
            self.last_generation = self.last_generation.max(membership.generation.get());
            let is_known = self.groups.contains_key(&membership.group);
            if !is_known && !formation::group_naming::is_standby(&membership.group, &facts.vm) {
                unknown.insert(membership.group.clone());
            }
        }
        self.partial_since
            .retain(|name, _since| unknown.contains(name));
        for name in unknown {
            self.adopt_group(&name, input, now);
        }
    }

    fn adopt_group(
        &mut self,
        name: &ids::GroupName,
        input: &formation::FormationInput<'_>,
        now: times::BootTime,
    ) {
        let memberships = input.facts.values().filter_map(|facts| {
            let membership = facts.standing.membership.as_ref()?;
            (membership.group == *name).then_some((facts, membership))
        });
        let memberships: Vec<_> = memberships.collect();
        let newest = memberships
            .iter()
            .map(|(_facts, membership)| membership.generation)
            .max();
        let Some(generation) = newest else { return };
        let mut ranks: Vec<_> = memberships
            .iter()
            .filter(|(_facts, membership)| membership.generation == generation)
            .map(|(facts, membership)| (membership.rank, *facts, membership.phase))
            .collect();
        ranks.sort_by_key(|(rank, ..)| *rank);
        let members: Vec<_> = ranks.iter().map(|(_rank, facts, _phase)| *facts).collect();
        let models = &input.engine.models;
        let Some(model) = formation::group_model::group_model(name, &members, models) else {
            self.partial_since.remove(name);
            return;
        };
        let size = usize::try_from(model.size.get()).unwrap_or(usize::MAX);
        let is_open = ranks
            .iter()
            .any(|(_rank, _facts, phase)| *phase == targets::GroupPhase::Open);
        let is_complete = ranks.len() == size;
        let since = *self.partial_since.entry(name.clone()).or_insert(now);
        if !is_complete && now.since(since) < ADOPTION_WAIT {
            return;
        }
        self.partial_since.remove(name);
        let members = ranks
            .iter()
            .map(|(_rank, facts, _phase)| formation::PlannedMember {
                vm: facts.vm.clone(),
                born: facts.standing.born,
                was_member: true,
            });
        let group = formation::PlannedGroup {
            model: model.name.clone(),
            generation,
            members: members.collect(),
            is_complete,
            opened_at: is_open.then_some(times::BootTime::default()),
            retiring_since: None,
            short_since: None,
        };
        self.groups.insert(name.clone(), group);
    }
}
