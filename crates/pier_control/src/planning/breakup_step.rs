//! Breaks up groups that the spares of their domain cannot repair.

use crate::planning;

/// A working group is broken up only for a group that is at least this many times larger.
const MIN_SIZE_RATIO: usize = 4;

/// Completes or ends incomplete groups by these rules:
///
/// 1. Incomplete groups are processed by number of missing members, then by group number. Each may
///    be completed with the members of an incomplete group of the same domain that comes later in
///    this order: the one that lacks the most members, of equals the newest. The donor ends.
/// 2. A group that is still incomplete ends if another domain has room for all its members, where
///    it is then formed again. This rule does not apply while its own domain has an outage.
/// 3. Otherwise a working group of its domain with at most a quarter of its size ends and donates
///    its members: the smallest that has enough usable members, of equals the least loaded. The
///    donor's model must be serving at least as large a share of its replicas as the model of the
///    incomplete group.
/// 4. Otherwise the group keeps its members and waits until the platform replaces the lost VMs.
pub(super) fn break_up_groups(draft: &mut planning::PlanDraft<'_>) {
    let mut incomplete = incomplete_groups(draft);
    while !incomplete.is_empty() {
        let (missing, group) = incomplete.remove(0);
        if complete_group(draft, group, &mut incomplete) {
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
            draft.add_reason(planning::PlanReason::Moved(group));
        } else if !complete_from_small_group(draft, group) {
            draft.add_reason(planning::PlanReason::LeftShort { group, missing });
        }
    }
}

/// Returns the incomplete groups as pairs of missing members and group number, in ascending order.
fn incomplete_groups(draft: &planning::PlanDraft<'_>) -> Vec<(usize, u64)> {
    let groups = draft.groups.keys();
    let mut incomplete: Vec<_> = groups
        .map(|group| (draft.failed_ranks(*group).len(), *group))
        .filter(|(missing, _group)| *missing > 0)
        .collect();
    incomplete.sort_unstable();
    incomplete
}

/// Completes a group with spares, or with the members of a later incomplete group of its domain.
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
    let needed = missing_spares(draft, group);
    let donors = later
        .iter()
        .enumerate()
        .filter(|(_position, (_missing, donor))| {
            let donor_placement = draft.groups.get(donor);
            donor_placement.is_some_and(|donor_placement| donor_placement.domain == domain)
                && usable_members(draft, *donor) >= needed
        });
    let donor = donors.max_by_key(|(_position, (missing, donor))| (*missing, *donor));
    let Some((position, (_missing, donor))) = donor.map(|(position, donor)| (position, *donor))
    else {
        return false;
    };
    later.remove(position);
    draft.remove_group(donor);
    draft.add_reason(planning::PlanReason::BrokenUp {
        group: donor,
        receiver: group,
    });
    planning::repair_step::repair_group(draft, group)
}

/// Completes a group with the members of a much smaller working group.
fn complete_from_small_group(draft: &mut planning::PlanDraft<'_>, group: u64) -> bool {
    let Some(donor) = small_donor(draft, group) else {
        return false;
    };
    draft.remove_group(donor);
    draft.add_reason(planning::PlanReason::BrokenUp {
        group: donor,
        receiver: group,
    });
    planning::repair_step::repair_group(draft, group)
}

/// Returns the working group to break up for a much larger one: the smallest that has enough usable
/// members, of equals the least loaded.
fn small_donor(draft: &planning::PlanDraft<'_>, group: u64) -> Option<u64> {
    let receiver = draft.groups.get(&group)?;
    let served = planning::repair_step::served_permille(draft, receiver);
    let needed = missing_spares(draft, group);
    let donors = draft.groups.iter().filter(|(donor, donor_placement)| {
        donor_placement.domain == receiver.domain
            && donor_placement.members.len() * MIN_SIZE_RATIO <= receiver.members.len()
            && usable_members(draft, **donor) >= needed
            && planning::repair_step::served_permille(draft, donor_placement) >= served
    });
    let donor = donors.min_by_key(|(donor, donor_placement)| {
        let load = draft.input.serving.get(donor).copied();
        (donor_placement.members.len(), load, *donor)
    });
    donor.map(|(donor, _donated)| *donor)
}

/// Returns how many members a group lacks beyond the spares of its domain.
fn missing_spares(draft: &planning::PlanDraft<'_>, group: u64) -> usize {
    let domain = draft.groups.get(&group).map(|placement| &placement.domain);
    let spares = domain.map_or(0, |domain| draft.free_count(domain));
    draft.failed_ranks(group).len().saturating_sub(spares)
}

/// Returns how many members of a group could join another group.
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
