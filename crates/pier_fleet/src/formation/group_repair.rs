//! Advances the groups of a domain, and re-forms groups that lost members.

use std::time;

use pier_types::ids;

use crate::formation;

/// How long streams may still run in a group with a leaving member before the group is re-formed.
///
/// A leaving member stays while its group has work, for ten seconds at most; most streams end
/// within half of that time.
const RETIRE_LIMIT: time::Duration = time::Duration::from_secs(4);

/// A group with a leaving member is re-formed before that time once it has at most this many
/// requests in flight.
const IDLE_REQUESTS: u32 = 1;

/// How long a group may lack members before its VMs are released to groups of other models. Longer
/// than a load of weights takes, so that a VM which is being prepared for the group can still join
/// it.
const SHORTAGE_LIMIT: time::Duration = time::Duration::from_secs(20);

/// Pause before the order to open is repeated to a first member.
const OPEN_RETRY_PAUSE: time::Duration = time::Duration::from_secs(1);

impl formation::DomainPlan<'_> {
    /// Advances each group of the domain, or re-forms it without its lost members.
    pub(super) fn update_groups(&mut self) {
        for name in self.group_names() {
            let Some(mut group) = self.planner.groups.remove(&name) else {
                continue;
            };
            let states = group.states(&name, self.input.facts);
            self.update_group(&name, &mut group, &states);
            if !group.members.is_empty() {
                self.planner.groups.insert(name, group);
            }
        }
    }

    pub(super) fn update_group(
        &mut self,
        name: &ids::GroupName,
        group: &mut formation::PlannedGroup,
        states: &[formation::MemberState],
    ) {
        let has_fault = states.iter().any(|state| state.is_fault());
        if has_fault || !group.is_complete {
            self.repair(name, group, states);
            return;
        }
        let is_leaving = states.contains(&formation::MemberState::Leaving);
        if is_leaving && self.may_reform(group) {
            self.repair(name, group, states);
            return;
        }
        if self.is_first_unlisted(group, states) && self.has_drained(group) {
            self.replace_first_member(name, group);
            return;
        }
        if !is_leaving {
            group.retiring_since = None;
        }
        self.advance_group(name, group, states);
    }

    /// Returns whether a group with a leaving member is to be re-formed now: enough standby VMs
    /// are ready, and its streams have ended or used up their time.
    pub(super) fn may_reform(&self, group: &mut formation::PlannedGroup) -> bool {
        let Some(model) = self.input.engine.model(&group.model) else {
            return false;
        };
        let leaving = group.members.iter().filter(|member| {
            let facts = self.input.facts.get(&member.vm);
            facts.is_none_or(|facts| facts.draining_since.is_some())
        });
        let leaving = leaving.count();
        let mut pool = self.ready_pool(model);
        pool.retain(|vm| !group.contains(vm));
        if pool.len() < leaving {
            return false;
        }
        self.has_drained(group)
    }

    /// Marks the group as retiring, and returns whether its requests have ended or used up their
    /// time.
    pub(super) fn has_drained(&self, group: &mut formation::PlannedGroup) -> bool {
        let since = *group.retiring_since.get_or_insert(self.now);
        let head = group.members.first().map(|member| &member.vm);
        let in_flight = head.and_then(|vm| self.input.in_flight.get(vm)).copied();
        let is_idle = in_flight.unwrap_or(0) <= IDLE_REQUESTS && self.now > since;
        is_idle || self.now.since(since) >= RETIRE_LIMIT
    }

    /// Returns whether a group's first member is no longer registered, so that it receives no
    /// requests.
    pub(super) fn is_first_unlisted(
        &self,
        group: &formation::PlannedGroup,
        states: &[formation::MemberState],
    ) -> bool {
        let head = group.members.first();
        let facts = head.and_then(|head| self.input.facts.get(&head.vm));
        states.first() == Some(&formation::MemberState::Leaving)
            && facts.is_some_and(|facts| facts.is_unlisted)
    }

    /// Re-forms a group out of the same VMs, with a different first member.
    pub(super) fn replace_first_member(
        &mut self,
        name: &ids::GroupName,
        group: &mut formation::PlannedGroup,
    ) {
        let is_listed = |vm: &ids::VmName| {
            let facts = self.input.facts.get(vm);
            facts.is_some_and(formation::MemberFacts::is_usable)
        };
        let mut members = group.member_names();
        members.sort_by_key(|vm| !is_listed(vm));
        if !members.first().is_some_and(is_listed) {
            return;
        }
        self.reform(name, group, &members);
    }

    /// Gives a group a new member list and generation, and issues the first orders for it.
    pub(super) fn reform(
        &mut self,
        name: &ids::GroupName,
        group: &mut formation::PlannedGroup,
        members: &[ids::VmName],
    ) {
        *group = formation::PlannedGroup {
            model: group.model.clone(),
            generation: self.planner.next_generation(),
            members: members.iter().map(|vm| self.planned_member(vm)).collect(),
            is_complete: true,
            opened_at: None,
            retiring_since: None,
            short_since: None,
        };
        self.planner.formed_at = Some(self.now);
        let states = group.states(name, self.input.facts);
        self.advance_group(name, group, &states);
    }

    /// Issues the orders that are due for a group with a complete member list: to join, and to
    /// open once every member is ready.
    pub(super) fn advance_group(
        &mut self,
        name: &ids::GroupName,
        group: &mut formation::PlannedGroup,
        states: &[formation::MemberState],
    ) {
        for (member, state) in group.members.iter().zip(states) {
            if *state == formation::MemberState::NotJoined {
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
            .is_none_or(|at| self.now.since(at) >= OPEN_RETRY_PAUSE);
        if head_waits && is_due && states.iter().all(is_ready) {
            self.order_open(name, group);
        }
    }

    /// Re-forms a group out of its survivors and standby VMs, or dissolves it when too few VMs are
    /// available.
    pub(super) fn repair(
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
                        | formation::MemberState::Departed
                        | formation::MemberState::Leaving
                )
        });
        let mut kept: Vec<_> = kept.map(|(member, _state)| member.vm.clone()).collect();
        let since = *group.short_since.get_or_insert(self.now);
        group.is_complete = false;
        let need = size.saturating_sub(kept.len());
        let mut pool = self.ready_pool(model);
        pool.retain(|vm| !group.contains(vm));
        if pool.len() < need {
            let is_given_up = kept.is_empty()
                || self.has_sibling(name, &group.model)
                || self.now.since(since) >= SHORTAGE_LIMIT;
            if is_given_up {
                self.dissolve(name, group, &kept);
            }
            return;
        }
        kept.extend(pool.into_iter().take(need));
        kept.truncate(size);
        self.reform(name, group, &kept);
    }

    /// Dissolves a group; its survivors are ordered to leave, so that they can be used elsewhere.
    pub(super) fn dissolve(
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

    /// Returns whether another group of the domain runs the same model. The survivors of a group
    /// that cannot be completed are the best standby VMs for such a group.
    pub(super) fn has_sibling(&self, name: &ids::GroupName, model: &ids::ModelName) -> bool {
        let names = self.group_names();
        names.iter().any(|other| {
            let group = self.planner.groups.get(other);
            other != name && group.is_some_and(|group| group.model == *model)
        })
    }
}
