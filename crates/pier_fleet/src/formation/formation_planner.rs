//! The planner of one data centre's replica groups.

use std::{collections, time};

use pier_types::{epochs, ids, times};

use crate::{budgets, formation, targets};

/// How long to wait for the missing members of a partly reported group. VMs register again one
/// after the other when the store, or the path to it, is back.
const ADOPT_TIME: time::Duration = time::Duration::from_secs(2);

/// How long the members of a new group may take to become ready if no weights are loaded.
const FORMING_TIME: time::Duration = time::Duration::from_millis(2_500);

/// Size of the range of generations that is reserved for each term.
const TERM_GENERATIONS: u64 = 1_000_000;

/// Plans groups from the status that VMs report, and returns the orders that are due.
///
/// It keeps the member lists that it ordered; a planner that takes over rebuilds them from the
/// VMs' status. Each order names the number of orders that the VM must have taken, so an order
/// that arrives late, or from a former planner, has no effect.
#[derive(Debug, Clone)]
pub struct FormationPlanner {
    pub(super) groups: collections::BTreeMap<ids::GroupName, formation::PlannedGroup>,
    pub(super) last_generation: u64,
    pub(super) loads: budgets::LoadBudget,
    pub(super) counts_loads: bool,
    /// When a new VM was last seen in each domain.
    pub(super) grown_at: collections::BTreeMap<ids::DomainName, times::BootTime>,
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
            last_generation: term.get().saturating_mul(TERM_GENERATIONS),
            loads: budgets::LoadBudget::new(now),
            counts_loads: true,
            grown_at: collections::BTreeMap::new(),
            assigned: collections::BTreeMap::new(),
            formed_at: None,
            seen: collections::BTreeSet::new(),
            partial_since: collections::BTreeMap::new(),
        }
    }

    /// Sets the rate per second and burst of weight loads; `None` means that loads are not
    /// limited.
    pub fn set_load_rate(&mut self, rate: Option<(f64, f64)>) {
        self.counts_loads = rate.is_some();
        if let Some((per_second, most)) = rate {
            self.loads.set_rate(per_second, most);
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
        is_fresh && groups.any(|group| group.is_whole && group.opened_at.is_none())
    }

    /// Raises the last generation to one that a VM has already seen, after it refused a lower one.
    pub fn raise_generation(&mut self, seen: epochs::GroupGeneration) {
        self.last_generation = self.last_generation.max(seen.get());
    }

    /// Assigns a new generation to a group, after a VM refused the current one.
    pub fn renew(&mut self, group: &ids::GroupName) {
        let generation = self.next_generation();
        if let Some(group) = self.groups.get_mut(group) {
            group.generation = generation;
            group.opened_at = None;
            for member in &mut group.members {
                member.was_in = false;
            }
        }
    }

    /// Returns the orders that are due.
    pub fn plan(
        &mut self,
        input: &formation::FormationInput<'_>,
        now: times::BootTime,
    ) -> Vec<formation::GroupOrder> {
        self.note_seen(input, now);
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
            plan.mend_groups();
            plan.form_groups();
            plan.prepare_spares();
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
        !self.counts_loads || self.loads.take(now)
    }

    /// Records when a new VM appears in a domain.
    fn note_seen(&mut self, input: &formation::FormationInput<'_>, now: times::BootTime) {
        for facts in input.facts.values() {
            if self.seen.insert((facts.vm.clone(), facts.standing.born)) {
                self.grown_at.insert(facts.domain.clone(), now);
            }
        }
        let facts = input.facts;
        self.seen.retain(|(vm, _born)| facts.contains_key(vm));
    }

    /// Returns whether a VM reports a group that this planner has not adopted yet.
    pub(super) fn is_unadopted(&self, facts: &formation::MemberFacts) -> bool {
        let place = facts.standing.membership.as_ref();
        place.is_some_and(|place| self.partial_since.contains_key(&place.group))
    }

    /// Adopts groups that VMs report and this planner does not know.
    fn adopt(&mut self, input: &formation::FormationInput<'_>, now: times::BootTime) {
        let mut unknown = collections::BTreeSet::new();
        for facts in input.facts.values() {
            let Some(place) = &facts.standing.membership else {
                continue;
            };
            self.last_generation = self.last_generation.max(place.generation.get());
            let is_known = self.groups.contains_key(&place.group);
            if !is_known && !formation::group_naming::is_standby(&place.group) {
                unknown.insert(place.group.clone());
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
        let Some(model) = formation::group_naming::model_of(name, &input.engine.models) else {
            return;
        };
        let places = input.facts.values().filter_map(|facts| {
            let place = facts.standing.membership.as_ref()?;
            (place.group == *name).then_some((facts, place))
        });
        let places: Vec<_> = places.collect();
        let newest = places.iter().map(|(_facts, place)| place.generation).max();
        let Some(generation) = newest else { return };
        let mut ranks: Vec<_> = places
            .iter()
            .filter(|(_facts, place)| place.generation == generation)
            .map(|(facts, place)| (place.rank, *facts, place.phase))
            .collect();
        ranks.sort_by_key(|(rank, ..)| *rank);
        let size = usize::try_from(model.size.get()).unwrap_or(usize::MAX);
        let is_open = ranks
            .iter()
            .any(|(_rank, _facts, phase)| *phase == targets::GroupPhase::Open);
        let is_whole = ranks.len() == size;
        let since = *self.partial_since.entry(name.clone()).or_insert(now);
        if !is_whole && now.since(since) < ADOPT_TIME {
            return;
        }
        self.partial_since.remove(name);
        let members = ranks
            .iter()
            .map(|(_rank, facts, _phase)| formation::PlannedMember {
                vm: facts.vm.clone(),
                born: facts.standing.born,
                was_in: true,
            });
        let group = formation::PlannedGroup {
            model: model.name.clone(),
            generation,
            members: members.collect(),
            is_whole,
            opened_at: is_open.then_some(times::BootTime::default()),
            retiring_since: None,
            broken_since: None,
        };
        self.groups.insert(name.clone(), group);
    }
}
