//! Chooses the domain of a new group.

use pier_types::ids;

use crate::planning;

/// What a domain would look like with the group in it; the least one is chosen.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DomainCost {
    /// Whether too few spares would be left for the members in the domain.
    breaks_reserve: bool,
    /// How many places for the largest groups would be lost.
    places_lost: usize,
    /// How many members there would be for each thousand free VMs.
    members_to_spares: usize,
}

/// Chooses the domain in which a new group strands the fewest accelerators.
///
/// Spares come first, since single VMs fail far more often than domains; then whole places for the
/// largest groups; then the domain that keeps the most spares for its members, since a spare helps
/// only within its domain.
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

/// Tells whether a group of a size fits somewhere without touching the spares.
pub(super) fn has_room(draft: &planning::PlanDraft<'_>, size: usize) -> bool {
    draft.free.iter().any(|(domain, free)| {
        free.len() >= size && !domain_cost(draft, domain, free.len(), size, size).breaks_reserve
    })
}

/// Works out what a new group costs a domain.
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
    let places_lost = if size < largest {
        free / largest - remainder / largest
    } else {
        0
    };
    DomainCost {
        breaks_reserve: remainder < reserve,
        places_lost,
        members_to_spares: (placed + size) * 1_000 / (remainder + 1),
    }
}
