//! Determines which orders are due.

use std::collections;

use pier_types::{epochs, ids, reports, vms};

use crate::{health, leases, loads, orders, placements};

/// Determines the orders that bring the engines in line with the placement.
///
/// Orders are idempotent. An order is due until an engine's report shows its effect, and is
/// repeated at a limited rate.
#[derive(Debug, Clone)]
pub struct OrderPlanner {
    settings: orders::OrderSettings,
    sent: collections::BTreeMap<ids::VmName, orders::SentOrder>,
    fenced: collections::BTreeSet<u64>,
    seen_generation: epochs::GroupGeneration,
}

impl OrderPlanner {
    /// Creates a planner that has not sent any orders yet.
    pub fn new(settings: orders::OrderSettings) -> Self {
        Self {
            settings,
            sent: collections::BTreeMap::new(),
            fenced: collections::BTreeSet::new(),
            seen_generation: epochs::GroupGeneration::default(),
        }
    }

    /// Returns the settings for sending orders.
    pub fn settings(&self) -> &orders::OrderSettings {
        &self.settings
    }

    /// Returns the groups with a member that refused an order because it had seen a higher fencing
    /// number. They need a new generation.
    pub fn fenced(&self) -> &collections::BTreeSet<u64> {
        &self.fenced
    }

    /// Returns the highest generation found in an engine's report or reply.
    pub fn seen_generation(&self) -> epochs::GroupGeneration {
        self.seen_generation
    }

    /// Returns the orders that are due now.
    ///
    /// No order is due without the lease, or while the placement was written under another term: a
    /// late write of the earlier holder could still replace it.
    pub fn due(&mut self, input: &orders::OrderInput<'_>) -> Vec<orders::MemberOrder> {
        for evidence in input.evidence.values() {
            self.seen_generation = self.seen_generation.max(evidence.report.generation);
        }
        let placement = input.placement;
        let grant = input.grant.filter(|grant| grant.covers(input.now));
        let Some(grant) = grant.filter(|grant| grant.term == placement.lease_term()) else {
            return Vec::new();
        };
        let mut due = Vec::new();
        for number in placement.groups().keys() {
            due.extend(self.group_orders(input, grant, *number));
        }
        due.extend(release_orders(input, grant, &self.settings));
        due.retain(|order| !self.was_sent(order, input));
        for order in &due {
            self.sent.insert(order.vm.clone(), sent_order(order, input));
        }
        due
    }

    /// Records an engine's reply to an order.
    pub fn record_reply(&mut self, order: &orders::MemberOrder, reply: orders::OrderReply) {
        if let orders::OrderReply::Fenced(generation) = reply {
            self.seen_generation = self.seen_generation.max(generation);
            if order.order.kind != orders::OrderKind::Release {
                self.fenced.insert(order.order.group.number);
            }
        }
    }

    /// Clears the groups with refused orders, once the planner has processed them.
    pub fn clear_fenced(&mut self) {
        self.fenced.clear();
    }

    /// Returns the orders due for a group's members and for the new members of its successor.
    fn group_orders(
        &self,
        input: &orders::OrderInput<'_>,
        grant: leases::LeaseGrant,
        number: u64,
    ) -> Vec<orders::MemberOrder> {
        let Some(group) = input.placement.groups().get(&number) else {
            return Vec::new();
        };
        let id = input.placement.group_id(number);
        let current = group.members.iter().enumerate();
        let current = current.map(|(rank, slot)| (rank, slot, group.generation, &group.members));
        let next = group.successor.as_ref();
        let new_members = next.into_iter().flat_map(|next| {
            let slots = group.new_members().into_iter();
            slots.map(|(rank, slot)| (rank, slot, next.generation, &next.members))
        });
        let slots = current.chain(new_members);
        let due = slots.filter_map(|(rank, slot, generation, members)| {
            let kind = self.due_kind(input, &id, group, slot, generation)?;
            Some(orders::MemberOrder {
                vm: slot.vm.clone(),
                address: slot.address,
                grant,
                order: join_order(kind, &id, group, rank, generation, members),
            })
        });
        due.collect()
    }

    /// Returns the kind of order that is due for a member: a role change if it has the weights,
    /// otherwise a load as soon as its group is admitted.
    fn due_kind(
        &self,
        input: &orders::OrderInput<'_>,
        id: &ids::GroupId,
        group: &placements::GroupPlacement,
        slot: &placements::MemberSlot,
        generation: epochs::GroupGeneration,
    ) -> Option<orders::OrderKind> {
        if !self.is_join_due(input, id, slot, generation) {
            None
        } else if loads::holds_weights(group, id, slot, input.evidence) {
            Some(orders::OrderKind::Role)
        } else {
            let may_load = input.admitted.contains(&id.number);
            may_load.then_some(orders::OrderKind::Load)
        }
    }

    /// Returns whether a recent report shows that a member has not applied its order.
    ///
    /// No order is due for a VM that does not answer probes: it could only arrive late.
    fn is_join_due(
        &self,
        input: &orders::OrderInput<'_>,
        id: &ids::GroupId,
        slot: &placements::MemberSlot,
        generation: epochs::GroupGeneration,
    ) -> bool {
        let Some(report) = fresh_report(input, &slot.vm, &self.settings) else {
            return false;
        };
        let is_applied = report.group.as_ref() == Some(id) && report.generation == generation;
        report.incarnation == slot.incarnation && !is_applied
    }

    /// Returns whether the same order was sent within the resend interval.
    fn was_sent(&self, order: &orders::MemberOrder, input: &orders::OrderInput<'_>) -> bool {
        self.sent.get(&order.vm).is_some_and(|sent| {
            let is_same =
                sent.group == order.order.group && sent.generation == order.order.generation;
            is_same && input.now.since(sent.created_at) < self.settings.resend_after
        })
    }
}

/// Returns a VM's report if it is recent enough.
fn fresh_report<'a>(
    input: &orders::OrderInput<'a>,
    vm: &ids::VmName,
    settings: &orders::OrderSettings,
) -> Option<&'a reports::EngineReport> {
    let evidence = input.evidence.get(vm);
    let fresh = evidence.filter(|evidence| evidence.is_fresh(input.now, settings.freshness));
    fresh.map(|evidence: &health::VmEvidence| &evidence.report)
}

/// Creates the order for a member to join its group at a generation.
fn join_order(
    kind: orders::OrderKind,
    id: &ids::GroupId,
    group: &placements::GroupPlacement,
    rank: usize,
    generation: epochs::GroupGeneration,
    members: &[placements::MemberSlot],
) -> orders::EngineOrder {
    orders::EngineOrder {
        kind,
        group: id.clone(),
        generation,
        rank,
        members: members.iter().map(|slot| slot.vm.clone()).collect(),
        model: Some(group.model.clone()),
        version: Some(group.recipe.version.clone()),
        adapters: group.recipe.adapters.clone(),
        role: group.recipe.role(rank),
        expires_in_ms: 0,
    }
}

/// Returns the release orders for VMs that report a group although the placement assigns them none.
///
/// A release carries the last generation issued in the data centre, so that every later order to
/// the VM, for any group, has a higher one.
fn release_orders(
    input: &orders::OrderInput<'_>,
    grant: leases::LeaseGrant,
    settings: &orders::OrderSettings,
) -> Vec<orders::MemberOrder> {
    let groups = input.placement.groups().values();
    let placed: collections::BTreeSet<_> =
        groups.flat_map(placements::GroupPlacement::vms).collect();
    let is_candidate = |entry: &&vms::VmEntry| {
        let is_ours = entry.data_centre == *input.placement.data_centre();
        is_ours && entry.pool == vms::VmPool::Accelerator && !placed.contains(&entry.name)
    };
    let candidates = input.vms.iter().filter(is_candidate);
    candidates
        .filter_map(|entry| {
            let report = fresh_report(input, &entry.name, settings)?;
            let group = report.group.clone()?;
            Some(orders::MemberOrder {
                vm: entry.name.clone(),
                address: entry.address,
                grant,
                order: release_order(group, input.placement.counters().last_generation),
            })
        })
        .collect()
}

/// Creates the order for a VM to leave a group.
fn release_order(group: ids::GroupId, generation: epochs::GroupGeneration) -> orders::EngineOrder {
    orders::EngineOrder {
        kind: orders::OrderKind::Release,
        group,
        generation,
        rank: 0,
        members: Vec::new(),
        model: None,
        version: None,
        adapters: Vec::new(),
        role: placements::MemberRole::Unified,
        expires_in_ms: 0,
    }
}

/// Creates the record of an order that is returned for sending.
fn sent_order(order: &orders::MemberOrder, input: &orders::OrderInput<'_>) -> orders::SentOrder {
    orders::SentOrder {
        group: order.order.group.clone(),
        generation: order.order.generation,
        created_at: input.now,
    }
}
