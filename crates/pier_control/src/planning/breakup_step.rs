//! Ends groups that can not be mended where they stand.

use crate::planning;

/// Breaks up short groups, by this rule:
///
/// 1. Short groups of one domain are taken in the order of missing members, then of numbers. Each
///    may be completed with the members of the short group of its domain that lacks the most, the
///    youngest of equals, as long as that one stands later in the order. The donor ends.
/// 2. A group that is still short ends if another domain can hold it whole; it is formed there.
/// 3. Otherwise it keeps its members and waits for the platform to replace the lost ones.
pub(super) fn break_up_groups(draft: &mut planning::PlanDraft<'_>) {
    let mut short = short_groups(draft);
    while !short.is_empty() {
        let (missing, group) = short.remove(0);
        if complete_group(draft, group, &mut short) {
            continue;
        }
        let Some(placement) = draft.groups.get(&group) else {
            continue;
        };
        let (size, domain) = (placement.members.len(), placement.domain.clone());
        let is_held = draft.index.held_domains().contains(&domain);
        let has_room = draft
            .free
            .iter()
            .any(|(other, free)| *other != domain && free.len() >= size);
        if has_room && !is_held {
            draft.remove_group(group);
            draft.note(planning::PlanReason::Moved(group));
        } else {
            draft.note(planning::PlanReason::LeftShort { group, missing });
        }
    }
}

/// Returns the groups with lost members, as missing members and number, the least damaged first.
fn short_groups(draft: &planning::PlanDraft<'_>) -> Vec<(usize, u64)> {
    let groups = draft.groups.keys();
    let mut short: Vec<_> = groups
        .map(|group| (draft.hard_ranks(*group).len(), *group))
        .filter(|(missing, _group)| *missing > 0)
        .collect();
    short.sort_unstable();
    short
}

/// Completes a group with the members of a later one of the same domain.
fn complete_group(
    draft: &mut planning::PlanDraft<'_>,
    group: u64,
    later: &mut Vec<(usize, u64)>,
) -> bool {
    if planning::repair_step::repair_group(draft, group) {
        return true;
    }
    let Some(placement) = draft.groups.get(&group) else {
        return true;
    };
    let domain = placement.domain.clone();
    let needed = draft
        .hard_ranks(group)
        .len()
        .saturating_sub(draft.free_count(&domain));
    let donors = later
        .iter()
        .enumerate()
        .filter(|(_position, (_missing, donor))| {
            let donated = draft.groups.get(donor);
            donated.is_some_and(|donated| donated.domain == domain)
                && usable_members(draft, *donor) >= needed
        });
    let donor = donors.max_by_key(|(_position, (missing, donor))| (*missing, *donor));
    let Some((position, (_missing, donor))) = donor.map(|(position, donor)| (position, *donor))
    else {
        return false;
    };
    later.remove(position);
    draft.remove_group(donor);
    draft.note(planning::PlanReason::BrokenUp {
        group: donor,
        receiver: group,
    });
    planning::repair_step::repair_group(draft, group)
}

/// Returns how many members of a group could join another one.
fn usable_members(draft: &planning::PlanDraft<'_>, group: u64) -> usize {
    let members = draft.groups.get(&group).map(|placement| &placement.members);
    let members = members.into_iter().flatten();
    let usable = members.filter(|slot| {
        draft
            .index
            .vm(&slot.vm)
            .is_some_and(planning::PlanVm::is_usable)
    });
    usable.count()
}
