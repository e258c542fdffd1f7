//! What the registrations say about a lost target.

use std::net;

use pier_fleet::targets;
use pier_request::quarantine;
use pier_types::{epochs, ids, times};

/// A start of a VM that was lost, or may have been.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LostTarget {
    pub vm: ids::VmName,
    pub born: epochs::VmIncarnation,
    pub address: net::SocketAddr,
}

/// Returns why a target was lost at `lost_at` as far as the registrations show it; `None` while
/// they do not.
///
/// A VM that crashed registers again as a new incarnation, or another VM registers at its address.
/// Its own registration lapses after the loss, while a VM that leaves is unregistered, or registered
/// as leaving, before it stops.
pub(crate) fn registered_cause(
    registry: &targets::TargetRegistry,
    lost: &LostTarget,
    lost_at: times::BootTime,
    now: times::BootTime,
) -> Option<quarantine::LossCause> {
    let records = registry.records();
    let known = records.get(&lost.vm);
    if known.is_some_and(|record| record.entry.standing.born > lost.born) {
        return Some(quarantine::LossCause::ProcessLost);
    }
    if known.is_none_or(|record| !record.accepts_requests(lost_at)) {
        return Some(quarantine::LossCause::Ordered);
    }
    let is_reused = records.values().any(|record| {
        record.entry.vm != lost.vm
            && record.entry.address == lost.address
            && record.is_valid(now)
            && record.entry.standing.born > lost.born
    });
    is_reused.then_some(quarantine::LossCause::ProcessLost)
}
