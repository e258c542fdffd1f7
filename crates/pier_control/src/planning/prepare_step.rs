//! Prepares successors for members that are leaving or slow.

use crate::{placements, planning};

/// Prepares a successor for each group with members that need one, as long as there are spares.
///
/// The spares load the weights while the group still serves. The repair step of a later run lets
/// the successor take over once the weights are loaded.
pub(super) fn prepare_successors(draft: &mut planning::PlanDraft<'_>) {
    for group in draft.group_numbers() {
        prepare_successor(draft, group);
    }
}

/// Prepares one group's successor, which replaces as many members as there are spares.
fn prepare_successor(draft: &mut planning::PlanDraft<'_>, group: u64) {
    let statuses = draft.member_statuses(group);
    let Some(placement) = draft.groups.get(&group) else {
        return;
    };
    let is_damaged = statuses.iter().any(|status| status.is_failed());
    if is_damaged || placement.successor.is_some() {
        return;
    }
    let domain = placement.domain.clone();
    let mut members = placement.members.clone();
    let mut replaced = 0;
    for (slot, status) in members.iter_mut().zip(&statuses) {
        if *status != planning::MemberStatus::NeedsSuccessor {
            continue;
        }
        let Some(free_slot) = draft.take_free(&domain) else {
            break;
        };
        *slot = free_slot;
        replaced += 1;
    }
    if replaced == 0 {
        return;
    }
    let generation = draft.counters.take_generation();
    if let Some(placement) = draft.groups.get_mut(&group) {
        placement.successor = Some(placements::GroupSuccessor {
            generation,
            members,
        });
    }
    draft.add_reason(planning::PlanReason::SuccessorPrepared { group, replaced });
}
