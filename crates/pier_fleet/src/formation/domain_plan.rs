//! One planning pass over one fabric domain.

use std::collections;

use pier_types::{ids, times};

use crate::{documents, formation};

/// Repairs and forms the groups of one domain and prepares its standby VMs.
#[derive(Debug)]
pub(super) struct DomainPlan<'a> {
    pub(super) planner: &'a mut formation::FormationPlanner,
    pub(super) input: &'a formation::FormationInput<'a>,
    pub(super) domain: &'a ids::DomainName,
    pub(super) now: times::BootTime,
    pub(super) orders: Vec<formation::GroupOrder>,
    /// VMs that already have an order in this pass; each gets at most one.
    pub(super) ordered: collections::BTreeSet<ids::VmName>,
}

impl<'a> DomainPlan<'a> {
    pub(super) fn new(
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

    /// Forms new groups out of free VMs, starting with the model that is furthest below its share.
    pub(super) fn form_groups(&mut self) {
        if !self.missing_members().is_empty() || !self.is_settled() {
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
                is_complete: true,
                opened_at: None,
                retiring_since: None,
                short_since: None,
            };
            self.planner.formed_at = Some(self.now);
            let states = group.states(&name, self.input.facts);
            self.advance_group(&name, &mut group, &states);
            self.planner.groups.insert(name, group);
        }
    }

    /// Starts the models of this domain's groups on its free VMs, as standby VMs.
    pub(super) fn prepare_standby(&mut self) {
        let models = &self.input.engine.models;
        if !self.is_settled() {
            return;
        }
        let (missing_members, member_counts) = (self.missing_members(), self.member_counts());
        let free = self.free_vms();
        let facts = free.iter().filter_map(|vm| self.input.facts.get(vm));
        let mut standby = formation::standby_choice::count_standby(facts, models);
        let siblings = self.sibling_models();
        for vm in free {
            let Some(facts) = self.input.facts.get(&vm).cloned() else {
                continue;
            };
            let current = formation::group_model::standby_model(&facts, models)
                .map(|model| model.name.clone());
            if let Some(current) = &current {
                let short = missing_members.get(current).copied().unwrap_or(0);
                let wanted_elsewhere = missing_members.iter().any(|(model, count)| {
                    model != current && *count > standby.get(model).copied().unwrap_or(0)
                });
                if short > 0 || !wanted_elsewhere {
                    continue;
                }
            }
            let choice = formation::standby_choice::choose_model(
                models,
                &missing_members,
                &member_counts,
                &standby,
                &siblings,
            );
            let Some(model) = choice else { return };
            if current.as_ref() == Some(&model.name) || !self.may_order(&facts) {
                continue;
            }
            if self.order_standby(&facts, model) {
                *standby.entry(model.name.clone()).or_insert(0) += 1;
            }
        }
    }

    /// Returns the model of the next new group that the domain's free VMs can hold.
    pub(super) fn next_model(&self) -> Option<&'a documents::ModelSpec> {
        let free = self.free_vms().len();
        let has_groups = !self.group_names().is_empty();
        let assigned = self.planner.assigned.get(self.domain);
        let group_count = |model: &documents::ModelSpec| {
            let groups = self.planner.groups.values();
            groups.filter(|group| group.model == model.name).count() as f64
        };
        let supply = |model: &documents::ModelSpec| {
            let wanted = (model.share / f64::from(model.size.get().max(1))).max(1e-6);
            group_count(model) / wanted
        };
        let fits = |model: &&documents::ModelSpec| {
            let size = usize::try_from(model.size.get()).unwrap_or(usize::MAX);
            let is_allowed = assigned.is_none_or(|assigned| *assigned == model.name);
            // VMs that already run the model are more useful as a group than as standby VMs.
            let is_ready = self.ready_pool(model).len() >= size;
            let reserve = usize::from(has_groups && !is_ready);
            is_allowed && size > 0 && free >= size + reserve
        };
        let models = self.input.engine.models.iter().filter(fits);
        models.min_by(|left, right| {
            let order = supply(left).partial_cmp(&supply(right));
            let by_size = right.size.cmp(&left.size);
            order.unwrap_or(std::cmp::Ordering::Equal).then(by_size)
        })
    }

    /// Returns a group name that is not in use.
    pub(super) fn free_name(&self, model: &documents::ModelSpec) -> Option<ids::GroupName> {
        // As many names may be reported as there are VMs, and as many be planned.
        let vms = u32::try_from(self.input.facts.len()).unwrap_or(u32::MAX);
        let numbers = 0..vms.saturating_mul(2);
        let names = numbers.filter_map(|number| {
            formation::group_naming::group_name(&model.name, self.domain, number)
        });
        let is_used_elsewhere = |name: &ids::GroupName| {
            let mut others = self.input.facts.values();
            others.any(|facts| {
                let membership = facts.standing.membership.as_ref();
                facts.domain != *self.domain
                    && membership.is_some_and(|membership| membership.group == *name)
            })
        };
        let mut free = names
            .filter(|name| !self.planner.groups.contains_key(name) && !is_used_elsewhere(name));
        free.next()
    }
}
