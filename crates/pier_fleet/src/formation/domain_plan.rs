//! One run over one fabric domain.

use std::{collections, time};

use pier_types::{ids, times};

use crate::{documents, formation};

/// How long streams of a group that loses a leaving member may still run before they are moved.
///
/// A leaving member stays while its group has work, for ten seconds at most; most streams are done
/// in half of this time.
const RETIRE_TIME: time::Duration = time::Duration::from_secs(4);

/// Requests in flight at which a group with a leaving member is formed anew before that time.
const RETIRE_FLOOR: u32 = 1;

/// How long a group may lack members before its VMs are given to groups of other models: longer than
/// a load of weights takes, so that a VM which is being prepared for it comes in time.
const SHORT_TIME: time::Duration = time::Duration::from_secs(20);

/// How long a domain must not have got another VM before new groups are formed in it: VMs that start
/// together register one after the other, and the first of them must not all go to the smallest model.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(500);

/// Pause before a first member that was told to serve is told again.
const OPEN_PAUSE: time::Duration = time::Duration::from_secs(1);

/// Mends, forms and prepares the groups of one domain.
#[derive(Debug)]
pub(super) struct DomainPlan<'a> {
    planner: &'a mut formation::FormationPlanner,
    input: &'a formation::FormationInput<'a>,
    domain: &'a ids::DomainName,
    now: times::BootTime,
    pub orders: Vec<formation::GroupOrder>,
    /// VMs that this run has an order for; each gets one at a time.
    ordered: collections::BTreeSet<ids::VmName>,
}

impl<'a> DomainPlan<'a> {
    pub fn new(
        planner: &'a mut formation::FormationPlanner,
        input: &'a formation::FormationInput<'a>,
        domain: &'a ids::DomainName,
        now: times::BootTime,
    ) -> Self {
        Self {
            planner,
            input,
            domain,
            now,
            orders: Vec::new(),
            ordered: collections::BTreeSet::new(),
        }
    }

    /// Brings each group of the domain a step further, or forms it anew without lost members.
    pub fn mend_groups(&mut self) {
        for name in self.group_names() {
            let Some(mut group) = self.planner.groups.remove(&name) else {
                continue;
            };
            let states = group.states(&name, self.input.facts);
            self.mend_group(&name, &mut group, &states);
            if !group.members.is_empty() {
                self.planner.groups.insert(name, group);
            }
        }
    }

    /// Forms new groups out of free VMs, the model that is furthest below its part first.
    pub fn form_groups(&mut self) {
        if !self.lacking().is_empty() || !self.is_settled() {
            return;
        }
        while let Some(model) = self.next_model() {
            let size = usize::try_from(model.size.get()).unwrap_or(usize::MAX);
            let mut pool = self.free_pool(model);
            pool.truncate(size);
            let Some(name) = self.free_name(model) else {
                return;
            };
            let members = pool.iter().map(|vm| self.planned_member(vm)).collect();
            let mut group = formation::PlannedGroup {
                model: model.name.clone(),
                generation: self.planner.next_generation(),
                members,
                is_whole: true,
                opened_at: None,
                retiring_since: None,
                broken_since: None,
            };
            let states = group.states(&name, self.input.facts);
            self.step_group(&name, &mut group, &states);
            self.planner.groups.insert(name, group);
        }
    }

    /// Starts the models of this domain's groups on its free VMs.
    pub fn prepare_spares(&mut self) {
        let models = &self.input.engine.models;
        if !self.is_settled() {
            return;
        }
        let (lacking, grouped) = (self.lacking(), self.grouped());
        let free = self.free_vms();
        let facts = free.iter().filter_map(|vm| self.input.facts.get(vm));
        let mut standby = formation::spare_choice::count_standby(facts, models);
        let siblings = self.sibling_models();
        for vm in free {
            let Some(facts) = self.input.facts.get(&vm).cloned() else {
                continue;
            };
            let present = self.standby_model(&facts);
            if let Some(present) = &present {
                let short = lacking.get(present).copied().unwrap_or(0);
                let wanted_elsewhere = lacking.iter().any(|(model, count)| {
                    model != present && *count > standby.get(model).copied().unwrap_or(0)
                });
                if short > 0 || !wanted_elsewhere {
                    continue;
                }
            }
            let choice = formation::spare_choice::choose_model(
                models, &lacking, &grouped, &standby, &siblings,
            );
            let Some(model) = choice else { return };
            if present.as_ref() == Some(&model.name) || !self.may_order(&facts) {
                continue;
            }
            if self.order_standby(&facts, model) {
                *standby.entry(model.name.clone()).or_insert(0) += 1;
            }
        }
    }

    fn is_settled(&self) -> bool {
        let grown_at = self.planner.grown_at.get(self.domain);
        grown_at.is_none_or(|at| self.now.since(*at) >= SETTLE_TIME)
    }

    fn group_names(&self) -> Vec<ids::GroupName> {
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

    fn mend_group(
        &mut self,
        name: &ids::GroupName,
        group: &mut formation::PlannedGroup,
        states: &[formation::MemberState],
    ) {
        let has_fault = states.iter().any(|state| state.is_fault());
        if has_fault || !group.is_whole {
            self.repair(name, group, states);
            return;
        }
        let is_leaving = states.contains(&formation::MemberState::Leaving);
        if is_leaving && self.may_retire(group) {
            self.repair(name, group, states);
            return;
        }
        if self.is_headless(group, states) && self.is_due(group) {
            self.rotate(name, group);
            return;
        }
        if !is_leaving {
            group.retiring_since = None;
        }
        self.step_group(name, group, states);
    }

    /// Tells whether a group with a leaving member is to be formed anew now.
    fn may_retire(&self, group: &mut formation::PlannedGroup) -> bool {
        let Some(model) = self.input.engine.model(&group.model) else {
            return false;
        };
        let leaving = group.members.iter().filter(|member| {
            let facts = self.input.facts.get(&member.vm);
            facts.is_none_or(|facts| facts.draining_since.is_some())
        });
        let leaving = leaving.count();
        let mut pool = self.ready_pool(model);
        pool.retain(|vm| !group.has(vm));
        if pool.len() < leaving {
            return false;
        }
        self.is_due(group)
    }

    /// Tells whether the streams of a group that takes no new requests have had their time.
    fn is_due(&self, group: &mut formation::PlannedGroup) -> bool {
        let since = *group.retiring_since.get_or_insert(self.now);
        let head = group.members.first().map(|member| &member.vm);
        let in_flight = head.and_then(|vm| self.input.in_flight.get(vm)).copied();
        let is_idle = in_flight.unwrap_or(0) <= RETIRE_FLOOR && self.now > since;
        is_idle || self.now.since(since) >= RETIRE_TIME
    }

    /// Tells whether a group's first member is no longer registered, so that it gets no requests.
    fn is_headless(
        &self,
        group: &formation::PlannedGroup,
        states: &[formation::MemberState],
    ) -> bool {
        let head = group.members.first();
        let facts = head.and_then(|head| self.input.facts.get(&head.vm));
        states.first() == Some(&formation::MemberState::Leaving)
            && facts.is_some_and(|facts| facts.is_unlisted)
    }

    /// Forms a group anew out of the same VMs, with another first member.
    fn rotate(&mut self, name: &ids::GroupName, group: &mut formation::PlannedGroup) {
        let is_listed = |vm: &ids::VmName| {
            let facts = self.input.facts.get(vm);
            facts.is_some_and(formation::MemberFacts::is_usable)
        };
        let mut members = group.names();
        members.sort_by_key(|vm| !is_listed(vm));
        if !members.first().is_some_and(is_listed) {
            return;
        }
        self.form_anew(name, group, &members);
    }

    /// Gives a group a new list of members, and sends what brings them together.
    fn form_anew(
        &mut self,
        name: &ids::GroupName,
        group: &mut formation::PlannedGroup,
        members: &[ids::VmName],
    ) {
        *group = formation::PlannedGroup {
            model: group.model.clone(),
            generation: self.planner.next_generation(),
            members: members.iter().map(|vm| self.planned_member(vm)).collect(),
            is_whole: true,
            opened_at: None,
            retiring_since: None,
            broken_since: None,
        };
        let states = group.states(name, self.input.facts);
        self.step_group(name, group, &states);
    }

    /// Sends what brings a whole group a step further.
    fn step_group(
        &mut self,
        name: &ids::GroupName,
        group: &mut formation::PlannedGroup,
        states: &[formation::MemberState],
    ) {
        for (member, state) in group.members.iter().zip(states) {
            if *state == formation::MemberState::Unjoined {
                self.order_join(name, group, &member.vm);
            }
        }
        let is_ready = |state: &formation::MemberState| {
            matches!(
                state,
                formation::MemberState::Ready
                    | formation::MemberState::Open
                    | formation::MemberState::Leaving
            )
        };
        let head_waits = states.first() == Some(&formation::MemberState::Ready);
        let is_due = group
            .opened_at
            .is_none_or(|at| self.now.since(at) >= OPEN_PAUSE);
        if head_waits && is_due && states.iter().all(is_ready) {
            self.order_open(name, group);
        }
    }

    /// Forms a group anew out of its survivors and standby VMs.
    fn repair(
        &mut self,
        name: &ids::GroupName,
        group: &mut formation::PlannedGroup,
        states: &[formation::MemberState],
    ) {
        let Some(model) = self.input.engine.model(&group.model) else {
            group.members.clear();
            return;
        };
        let size = usize::try_from(model.size.get()).unwrap_or(usize::MAX);
        let kept = group.members.iter().zip(states).filter(|(member, state)| {
            let usable = self
                .input
                .facts
                .get(&member.vm)
                .is_some_and(formation::MemberFacts::is_usable);
            usable
                && !matches!(
                    state,
                    formation::MemberState::Gone
                        | formation::MemberState::Strayed
                        | formation::MemberState::Leaving
                )
        });
        let mut kept: Vec<_> = kept.map(|(member, _state)| member.vm.clone()).collect();
        let since = *group.broken_since.get_or_insert(self.now);
        group.is_whole = false;
        let need = size.saturating_sub(kept.len());
        let mut pool = self.ready_pool(model);
        pool.retain(|vm| !group.has(vm));
        if pool.len() < need {
            let is_given_up = kept.is_empty()
                || self.has_sibling(name, &group.model)
                || self.now.since(since) >= SHORT_TIME;
            if is_given_up {
                self.dissolve(name, group, &kept);
            }
            return;
        }
        kept.extend(pool.into_iter().take(need));
        kept.truncate(size);
        self.form_anew(name, group, &kept);
    }

    /// Gives a group up; its survivors leave it, so that they can be used elsewhere.
    fn dissolve(
        &mut self,
        name: &ids::GroupName,
        group: &mut formation::PlannedGroup,
        survivors: &[ids::VmName],
    ) {
        for vm in survivors {
            let Some(facts) = self
                .input
                .facts
                .get(vm)
                .filter(|facts| self.may_order(facts))
            else {
                continue;
            };
            let kind = formation::OrderKind::Leave;
            self.push_order(facts, name.clone(), group.generation, kind);
        }
        group.members.clear();
    }

    /// Tells whether another group of the domain runs the same model, which the survivors of a
    /// group that can not be whole are the best standby VMs for.
    fn has_sibling(&self, name: &ids::GroupName, model: &ids::ModelName) -> bool {
        let names = self.group_names();
        names.iter().any(|other| {
            let group = self.planner.groups.get(other);
            other != name && group.is_some_and(|group| group.model == *model)
        })
    }

    /// Tells whether a VM takes an order now.
    fn may_order(&self, facts: &formation::MemberFacts) -> bool {
        !facts.is_held && !self.ordered.contains(&facts.vm)
    }

    fn planned_member(&self, vm: &ids::VmName) -> formation::PlannedMember {
        let facts = self.input.facts.get(vm);
        formation::PlannedMember {
            vm: vm.clone(),
            born: facts.map(|facts| facts.standing.born).unwrap_or_default(),
            was_in: false,
        }
    }

    /// Returns the usable VMs of the domain that no group has.
    fn free_vms(&self) -> Vec<ids::VmName> {
        let is_planned = |vm: &ids::VmName| {
            let mut groups = self.planner.groups.values();
            groups.any(|group| group.has(vm))
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

    /// Returns the free VMs, those that can run the model soonest first.
    fn free_pool(&self, model: &documents::ModelSpec) -> Vec<ids::VmName> {
        let mut pool = self.free_vms();
        pool.sort_by_key(|vm| self.distance(vm, model));
        pool
    }

    /// Returns the free VMs that need no load for the model.
    fn ready_pool(&self, model: &documents::ModelSpec) -> Vec<ids::VmName> {
        let mut pool = self.free_pool(model);
        pool.retain(|vm| self.distance(vm, model) < 2);
        pool
    }

    fn distance(&self, vm: &ids::VmName, model: &documents::ModelSpec) -> u8 {
        let facts = self.input.facts.get(vm);
        facts.map_or(u8::MAX, |facts| facts.distance(model))
    }

    /// Returns how many members the groups of each model lack.
    fn lacking(&self) -> collections::BTreeMap<ids::ModelName, u32> {
        let mut lacking = collections::BTreeMap::new();
        for name in self.group_names() {
            let Some(group) = self
                .planner
                .groups
                .get(&name)
                .filter(|group| !group.is_whole)
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
            *lacking.entry(model.name.clone()).or_insert(0) += missing;
        }
        lacking
    }

    /// Returns the models that several groups of the domain run.
    fn sibling_models(&self) -> collections::BTreeSet<ids::ModelName> {
        let names = self.group_names();
        let groups = names
            .iter()
            .filter_map(|name| self.planner.groups.get(name));
        let mut seen = collections::BTreeSet::new();
        let repeated = groups.filter(|group| !seen.insert(group.model.clone()));
        repeated.map(|group| group.model.clone()).collect()
    }

    /// Returns how many members the groups of each model have.
    fn grouped(&self) -> collections::BTreeMap<ids::ModelName, u32> {
        let mut grouped = collections::BTreeMap::new();
        for name in self.group_names() {
            if let Some(group) = self.planner.groups.get(&name) {
                let count = u32::try_from(group.members.len()).unwrap_or(u32::MAX);
                *grouped.entry(group.model.clone()).or_insert(0) += count;
            }
        }
        grouped
    }

    /// Returns the model of the next new group that the domain's free VMs can hold.
    fn next_model(&self) -> Option<&'a documents::ModelSpec> {
        let free = self.free_vms().len();
        let has_groups = !self.group_names().is_empty();
        let reserve = usize::from(has_groups);
        let counts = |model: &documents::ModelSpec| {
            let groups = self.planner.groups.values();
            groups.filter(|group| group.model == model.name).count() as f64
        };
        let fill = |model: &documents::ModelSpec| {
            let wanted = (model.share / f64::from(model.size.get().max(1))).max(1e-6);
            counts(model) / wanted
        };
        let fits = |model: &&documents::ModelSpec| {
            let size = usize::try_from(model.size.get()).unwrap_or(usize::MAX);
            size > 0 && free >= size + reserve
        };
        let models = self.input.engine.models.iter().filter(fits);
        models.min_by(|left, right| {
            let order = fill(left).partial_cmp(&fill(right));
            let by_size = right.size.cmp(&left.size);
            order.unwrap_or(std::cmp::Ordering::Equal).then(by_size)
        })
    }

    /// Returns a name that no group of the domain bears.
    fn free_name(&self, model: &documents::ModelSpec) -> Option<ids::GroupName> {
        let numbers = 0..u32::try_from(self.input.facts.len()).unwrap_or(u32::MAX);
        let names = numbers.filter_map(|number| {
            formation::group_naming::group_name(&model.name, self.domain, number)
        });
        let mut free = names.filter(|name| !self.planner.groups.contains_key(name));
        free.next()
    }

    /// Returns the model of a VM's standby group.
    fn standby_model(&self, facts: &formation::MemberFacts) -> Option<ids::ModelName> {
        let place = facts.standing.membership.as_ref()?;
        if !formation::group_naming::is_standby(&place.group) {
            return None;
        }
        let model = formation::group_naming::model_of(&place.group, &self.input.engine.models)?;
        Some(model.name.clone())
    }

    fn order_join(
        &mut self,
        name: &ids::GroupName,
        group: &formation::PlannedGroup,
        vm: &ids::VmName,
    ) {
        let Some(model) = self.input.engine.model(&group.model) else {
            return;
        };
        let Some(facts) = self
            .input
            .facts
            .get(vm)
            .filter(|facts| self.may_order(facts))
        else {
            return;
        };
        if self.order_leave_first(facts, name) {
            return;
        }
        let needs_load = facts.distance(model) == 2;
        if needs_load && !self.planner.take_load(self.now) {
            return;
        }
        let kind = formation::OrderKind::Join {
            model: model.name.clone(),
            members: group.names(),
            needs_load,
        };
        self.push_order(facts, name.clone(), group.generation, kind);
    }

    /// Lets a VM leave the group that it is still in by its own word, before it joins another one;
    /// returns whether that is needed.
    fn order_leave_first(&mut self, facts: &formation::MemberFacts, next: &ids::GroupName) -> bool {
        let Some(place) = &facts.standing.membership else {
            return false;
        };
        if place.group == *next || formation::group_naming::is_standby(&place.group) {
            return false;
        }
        let kind = formation::OrderKind::Leave;
        self.push_order(facts, place.group.clone(), place.generation, kind);
        true
    }

    fn order_open(&mut self, name: &ids::GroupName, group: &mut formation::PlannedGroup) {
        let Some(head) = group.members.first() else {
            return;
        };
        let Some(facts) = self
            .input
            .facts
            .get(&head.vm)
            .filter(|facts| self.may_order(facts))
        else {
            return;
        };
        group.opened_at = Some(self.now);
        let kind = formation::OrderKind::Open;
        self.push_order(facts, name.clone(), group.generation, kind);
    }

    /// Starts a model on a free VM in a group of its own; returns whether the order is sent.
    fn order_standby(
        &mut self,
        facts: &formation::MemberFacts,
        model: &documents::ModelSpec,
    ) -> bool {
        let Some(name) = formation::group_naming::standby_name(&model.name, &facts.vm) else {
            return false;
        };
        if self.order_leave_first(facts, &name) {
            return false;
        }
        let needs_load = facts.distance(model) == 2;
        if needs_load && !self.planner.take_load(self.now) {
            return false;
        }
        let kind = formation::OrderKind::Join {
            model: model.name.clone(),
            members: vec![facts.vm.clone()],
            needs_load,
        };
        let generation = self.planner.next_generation();
        self.push_order(facts, name, generation, kind);
        true
    }

    fn push_order(
        &mut self,
        facts: &formation::MemberFacts,
        group: ids::GroupName,
        generation: pier_types::epochs::GroupGeneration,
        kind: formation::OrderKind,
    ) {
        self.ordered.insert(facts.vm.clone());
        self.orders.push(formation::GroupOrder {
            vm: facts.vm.clone(),
            born: facts.standing.born,
            expected_orders: facts.standing.orders,
            group,
            generation,
            kind,
        });
    }
}
