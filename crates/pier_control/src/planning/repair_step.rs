//! Repairs groups that lost members with spares of the same domain.

use crate::{placements, planning};

/// Repairs every group that can be repaired: first those of the model that serves the smallest
/// share of its replicas, and among these first the groups that lack the fewest members.
pub(super) fn repair_groups(draft: &mut planning::PlanDraft<'_>) {
    for group in draft.group_numbers() {
        check_successor(draft, group);
    }
    for group in repair_order(draft) {
        repair_group(draft, group);
    }
    let mismatched: Vec<_> = draft.input.mismatched.iter().copied().collect();
    for group in mismatched {
        raise_generation(draft, group);
    }
}

/// Returns the groups with failed members in the order in which they get spares.
fn repair_order(draft: &planning::PlanDraft<'_>) -> Vec<u64> {
    let mut order: Vec<_> = draft
        .groups
        .iter()
        .map(|(group, placement)| (draft.failed_ranks(*group).len(), placement, *group))
        .filter(|(missing, _placement, _group)| *missing > 0)
        .map(|(missing, placement, group)| {
            let need = served_permille(draft, placement);
            (need, missing, group)
        })
        .collect();
    order.sort_unstable();
    order
        .into_iter()
        .map(|(_need, _missing, group)| group)
        .collect()
}

/// Returns which share of the wanted replicas of a group's model is serving, in thousandths.
pub(super) fn served_permille(
    draft: &planning::PlanDraft<'_>,
    placement: &placements::GroupPlacement,
) -> usize {
    let groups = draft.model_groups(&placement.model);
    let serving = groups
        .iter()
        .filter(|group| draft.input.serving.contains_key(group));
    let wanted = draft.input.wanted.get(&placement.model);
    let wanted = wanted.map_or(1, |wanted| wanted.replicas.max(1) as usize);
    serving.count() * 1_000 / wanted
}

/// Replaces a group's lost members if there are enough spares for all of them.
///
/// A restarted member keeps its slot if it is usable: the VM is in the right domain and has to load
/// the weights just as a spare would. Returns whether the group was repaired.
pub(super) fn repair_group(draft: &mut planning::PlanDraft<'_>, group: u64) -> bool {
    let statuses = draft.member_statuses(group);
    let Some(placement) = draft.groups.get(&group) else {
        return false;
    };
    let domain = placement.domain.clone();
    let mut members = placement.members.clone();
    let mut lost = 0;
    for (slot, status) in members.iter_mut().zip(&statuses) {
        let usable_vm = draft.index.vm(&slot.vm).filter(|vm| vm.is_usable());
        match (status, usable_vm) {
            (planning::MemberStatus::Restarted, Some(vm)) => *slot = vm.slot(slot.vm.clone()),
            (planning::MemberStatus::Restarted | planning::MemberStatus::Lost, _) => lost += 1,
            _ => {}
        }
    }
    let replaced = statuses.iter().filter(|status| status.is_failed()).count();
    let spares = draft.free_count(&domain) + usable_new_members(draft, group);
    if replaced == 0 || lost > spares {
        return false;
    }
    drop_successor(draft, group);
    for (slot, status) in members.iter_mut().zip(&statuses) {
        let usable_vm = draft.index.vm(&slot.vm).filter(|vm| vm.is_usable());
        let keeps_slot = *status == planning::MemberStatus::Restarted && usable_vm.is_some();
        if !status.is_failed() || keeps_slot {
            continue;
        }
        if let Some(free_slot) = draft.take_free(&domain) {
            *slot = free_slot;
        }
    }
    draft.replace_members(group, members);
    draft.add_reason(planning::PlanReason::Repaired { group, replaced });
    true
}

/// Returns how many usable VMs are reserved for a group's successor.
fn usable_new_members(draft: &planning::PlanDraft<'_>, group: u64) -> usize {
    let Some(placement) = draft.groups.get(&group) else {
        return 0;
    };
    let new_members = placement.new_members();
    let usable = new_members.iter().filter(|(_rank, slot)| {
        draft
            .index
            .vm(&slot.vm)
            .is_some_and(planning::PlanVm::is_usable)
    });
    usable.count()
}

/// Discards a group's successor and frees the VMs that only the successor uses.
fn drop_successor(draft: &mut planning::PlanDraft<'_>, group: u64) {
    let Some(placement) = draft.groups.get_mut(&group) else {
        return;
    };
    let new_members = placement.new_members().into_iter();
    let names: Vec<_> = new_members.map(|(_rank, slot)| slot.vm.clone()).collect();
    placement.successor = None;
    for name in names {
        draft.release_vm(&name);
    }
}

/// Makes a group's successor its members once it is ready or a current member has failed; discards
/// the successor if one of its own members has failed.
fn check_successor(draft: &mut planning::PlanDraft<'_>, group: u64) {
    let Some(placement) = draft.groups.get(&group) else {
        return;
    };
    let Some(next) = placement.successor.clone() else {
        return;
    };
    let statuses = draft.slot_statuses(&next.members, &placement.domain);
    if statuses.iter().any(|status| status.is_failed()) {
        drop_successor(draft, group);
        draft.add_reason(planning::PlanReason::SuccessorDropped(group));
        return;
    }
    let is_broken = !draft.failed_ranks(group).is_empty();
    if !is_broken && !draft.input.ready.contains(&group) {
        return;
    }
    let leavers: Vec<_> = placement
        .members
        .iter()
        .map(|slot| slot.vm.clone())
        .collect();
    let Some(placement) = draft.groups.get_mut(&group) else {
        return;
    };
    placement.generation = next.generation;
    placement.members = next.members;
    placement.successor = None;
    let retained: Vec<_> = placement
        .members
        .iter()
        .map(|slot| slot.vm.clone())
        .collect();
    for vm in leavers.iter().filter(|vm| !retained.contains(vm)) {
        draft.release_vm(vm);
    }
    draft.add_reason(planning::PlanReason::SuccessorTookOver(group));
}

/// Gives a new generation to a group with a member that applied an order other than the current
/// one, unless this run has already changed the group's generation.
fn raise_generation(draft: &mut planning::PlanDraft<'_>, group: u64) {
    let Some(placement) = draft.groups.get(&group) else {
        return;
    };
    let unchanged = draft.input.present.groups().get(&group);
    if unchanged.is_none_or(|current| current.generation != placement.generation) {
        return;
    }
    let members = placement.members.clone();
    drop_successor(draft, group);
    draft.replace_members(group, members);
    draft.add_reason(planning::PlanReason::GenerationRaised(group));
}
