//! A node's evidence on which services it reaches.

use std::{collections, time};

use pier_types::{ids, times};

use crate::reach;

/// Decides from a node's own contacts with targets which services it does not reach.
///
/// A node whose links to the targets are cut finds each of them unreachable, one after another. So
/// does a node whose targets have all ended; only then do the other nodes not reach them either.
#[derive(Debug, Clone, Default)]
pub struct ReachTracker {
    services: collections::BTreeMap<ids::ServiceName, reach::ServiceReach>,
}

impl ReachTracker {
    /// Records that a target of a service answered or accepted a connection; returns whether the
    /// service was cut off before.
    pub fn record_success(&mut self, service: &ids::ServiceName, now: times::BootTime) -> bool {
        let known = self.services.get_mut(service);
        known.is_some_and(|known| known.record_success(now))
    }

    /// Records that a target of a service could not be reached; `targets` is the
    /// number of targets that the service has. Returns whether the service counts as cut off from
    /// now on.
    ///
    /// One failure is enough while another service is cut off, and shortly after this one was.
    pub fn record_failure(
        &mut self,
        service: &ids::ServiceName,
        vm: &ids::VmName,
        targets: usize,
        now: times::BootTime,
    ) -> bool {
        let others = self.services.iter().filter(|(name, _)| *name != service);
        let is_other_cut_off = others
            .into_iter()
            .any(|(_, other)| other.cut_off_since().is_some());
        let known = self.services.entry(service.clone()).or_default();
        let is_suspected = is_other_cut_off || known.is_restored_recently(now);
        known.record_failure(vm, targets, is_suspected, now)
    }

    /// Returns whether the node does not reach any target of a service.
    pub fn is_cut_off(&self, service: &ids::ServiceName) -> bool {
        let known = self.services.get(service);
        known.is_some_and(|known| known.cut_off_since().is_some())
    }

    /// Returns the services that the node does not reach.
    pub fn cut_off_services(&self) -> Vec<ids::ServiceName> {
        let cut_off = self.services.iter();
        let cut_off = cut_off.filter(|(_, known)| known.cut_off_since().is_some());
        cut_off.map(|(name, _)| name.clone()).collect()
    }

    /// Returns whether the node has reached none of these services for at least `duration`.
    pub fn is_isolated<'a>(
        &self,
        mut services: impl Iterator<Item = &'a ids::ServiceName>,
        duration: time::Duration,
        now: times::BootTime,
    ) -> bool {
        let mut count = 0_usize;
        let all = services.all(|service| {
            count += 1;
            let known = self.services.get(service);
            let since = known.and_then(reach::ServiceReach::cut_off_since);
            since.is_some_and(|since| now.since(since) >= duration)
        });
        all && count > 0
    }
}
