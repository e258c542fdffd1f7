//! Creates the orders of a domain plan.

use pier_types::ids;

use crate::{documents, formation};

impl formation::DomainPlan<'_> {
    /// Returns whether an order may be sent to a VM now.
    pub(super) fn may_order(&self, facts: &formation::MemberFacts) -> bool {
        !facts.is_held && !self.ordered.contains(&facts.vm)
    }

    pub(super) fn order_join(
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
        let needs_load = facts.load_distance(model) == 2;
        if needs_load && !self.planner.take_load(self.now) {
            return;
        }
        let kind = formation::OrderKind::Join {
            model: model.name.clone(),
            members: group.member_names(),
            needs_load,
        };
        self.push_order(facts, name.clone(), group.generation, kind);
    }

    /// Orders a VM to leave the group that it still reports, before it joins another one. Returns
    /// whether that is needed.
    pub(super) fn order_leave_first(
        &mut self,
        facts: &formation::MemberFacts,
        next: &ids::GroupName,
    ) -> bool {
        let Some(membership) = &facts.standing.membership else {
            return false;
        };
        let group = &membership.group;
        if group == next || formation::group_naming::is_standby(group, &facts.vm) {
            return false;
        }
        let kind = formation::OrderKind::Leave;
        self.push_order(facts, membership.group.clone(), membership.generation, kind);
        true
    }

    pub(super) fn order_open(
        &mut self,
        name: &ids::GroupName,
        group: &mut formation::PlannedGroup,
    ) {
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

    /// Orders a free VM to run a model as standby, in a group of its own; returns whether the
    /// order to join was issued.
    pub(super) fn order_standby(
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
        let needs_load = facts.load_distance(model) == 2;
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

    pub(super) fn push_order(
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
