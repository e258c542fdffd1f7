//! Chooses the fabric domain of a new group.

use pier_types::ids;

use crate::planning;

/// The cost of placing the group in a domain, in order of importance; the lowest cost is chosen.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DomainCost {
    /// Whether the domain would keep fewer spares than its members need.
    breaks_reserve: bool,
    /// How many fewer groups of the largest size would fit into the domain's free VMs.
    lost_large_groups: usize,
    /// Members per free VM that would result, in thousandths; one free VM is added to avoid a
    /// division by zero.
    members_per_thousand_spares: usize,
}

/// Chooses the domain for a new group of `size` VMs so that few accelerators become unusable.
///
/// Keeping enough spares comes first, since single VMs fail far more often than whole domains. Next
/// comes keeping room for groups of the `largest` size. Last, the domain with the fewest members
/// for each spare is preferred, since a spare is useful only within its own domain.
pub(super) fn choose_domain(
    draft: &planning::PlanDraft<'_>,
    size: usize,
    largest: usize,
) -> Option<ids::DomainName> {
    let fitting = draft
        .free
        .iter()
        .filter(|(_domain, free)| free.len() >= size);
    let costs = fitting.map(|(domain, free)| {
        (
            domain_cost(draft, domain, free.len(), size, largest),
            domain,
        )
    });
    costs.min().map(|(_cost, domain)| domain.clone())
}

/// Returns whether some domain has room for a group of `size` VMs beside the spares it must keep.
pub(super) fn has_room(draft: &planning::PlanDraft<'_>, size: usize) -> bool {
    draft.free.iter().any(|(domain, free)| {
        free.len() >= size && !domain_cost(draft, domain, free.len(), size, size).breaks_reserve
    })
}

/// Computes the cost of placing a group of `size` VMs in a domain with `free` free VMs.
fn domain_cost(
    draft: &planning::PlanDraft<'_>,
    domain: &ids::DomainName,
    free: usize,
    size: usize,
    largest: usize,
) -> DomainCost {
    let remainder = free - size;
    let groups = draft
        .groups
        .values()
        .filter(|group| group.domain == *domain);
    let placed: usize = groups.map(|group| group.members.len()).sum();
    let reserve = (placed + size).div_ceil(draft.settings.members_per_spare.max(1));
    let largest = largest.max(1);
    let lost_large_groups = if size < largest {
        free / largest - remainder / largest
    } else {
        0
    };
    DomainCost {
        breaks_reserve: remainder < reserve,
        lost_large_groups,
        members_per_thousand_spares: (placed + size) * 1_000 / (remainder + 1),
    }
}
