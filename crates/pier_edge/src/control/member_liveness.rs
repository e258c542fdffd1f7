//! Tracks which VMs do not answer.

use std::{collections, time};

use pier_types::{epochs, ids, times};

/// Interval between two queries to a VM that counts as lost.
const QUERY_INTERVAL: time::Duration = time::Duration::from_millis(1_500);

/// Interval between two queries to a VM that left one unanswered.
const SILENT_QUERY_INTERVAL: time::Duration = time::Duration::from_millis(400);

/// How long a VM leaves queries unanswered until it counts as lost; one that is silent for a second
/// or two may be sound, and its group goes on.
const LOST_SILENCE: time::Duration = time::Duration::from_millis(1_500);

/// Unanswered orders after which a VM counts as lost.
const MAX_FAILED_ORDERS: u32 = 4;

/// Tracks when VMs were queried and which of them did not answer.
#[derive(Debug, Default)]
pub(super) struct MemberLiveness {
    lost: collections::BTreeMap<ids::VmName, epochs::VmIncarnation>,
    /// VMs that leave queries unanswered, and since when.
    silent: collections::BTreeMap<ids::VmName, SilentMember>,
    failed_orders: collections::BTreeMap<ids::VmName, u32>,
    queried_at: collections::BTreeMap<ids::VmName, times::BootTime>,
}

#[derive(Debug, Clone, Copy)]
struct SilentMember {
    born: epochs::VmIncarnation,
    since: times::BootTime,
}

impl MemberLiveness {
    /// Returns whether a VM counts as lost; one that has restarted since does not.
    pub(super) fn is_lost(&self, vm: &ids::VmName, born: epochs::VmIncarnation) -> bool {
        self.lost.get(vm) == Some(&born)
    }

    /// Returns whether a VM is due to be queried, and records the query if so.
    pub(super) fn should_query(
        &mut self,
        vm: &ids::VmName,
        interval: time::Duration,
        now: times::BootTime,
    ) -> bool {
        let is_due = self
            .queried_at
            .get(vm)
            .is_none_or(|at| now.since(*at) >= interval);
        if is_due {
            self.queried_at.insert(vm.clone(), now);
        }
        is_due
    }

    /// Returns the lost and the silent VMs that are due to be queried again, and records the
    /// queries.
    pub(super) fn due(&mut self, now: times::BootTime) -> Vec<ids::VmName> {
        let lost = self.lost.keys().map(|vm| (vm, QUERY_INTERVAL));
        let silent = self.silent.keys().map(|vm| (vm, SILENT_QUERY_INTERVAL));
        let known: Vec<_> = silent
            .chain(lost)
            .map(|(vm, at)| (vm.clone(), at))
            .collect();
        let due = known.into_iter();
        let due = due.filter(|(vm, interval)| self.should_query(vm, *interval, now));
        due.map(|(vm, _interval)| vm).collect()
    }

    pub(super) fn record_answer(&mut self, vm: &ids::VmName) {
        self.lost.remove(vm);
        self.silent.remove(vm);
        self.failed_orders.remove(vm);
    }

    /// Records that this incarnation of a VM left a query unanswered; returns whether it has done so
    /// for so long that it counts as lost.
    pub(super) fn record_silence(
        &mut self,
        vm: &ids::VmName,
        born: epochs::VmIncarnation,
        now: times::BootTime,
    ) -> bool {
        let new = SilentMember { born, since: now };
        let known = self.silent.entry(vm.clone()).or_insert(new);
        if known.born != born {
            *known = new;
        }
        now.since(known.since) >= LOST_SILENCE
    }

    /// Records that this incarnation of a VM is lost; returns whether that is new.
    pub(super) fn record_loss(&mut self, vm: &ids::VmName, born: epochs::VmIncarnation) -> bool {
        self.silent.remove(vm);
        self.lost.insert(vm.clone(), born) != Some(born)
    }

    /// Records an unanswered order; returns whether the VM newly counts as lost because of it.
    pub(super) fn record_failed_order(
        &mut self,
        vm: &ids::VmName,
        born: epochs::VmIncarnation,
    ) -> bool {
        let failed = self.failed_orders.entry(vm.clone()).or_insert(0);
        *failed += 1;
        if *failed < MAX_FAILED_ORDERS {
            return false;
        }
        self.failed_orders.remove(vm);
        self.record_loss(vm, born)
    }

    /// Forgets VMs that are no longer known.
    pub(super) fn retain(&mut self, is_known: impl Fn(&ids::VmName) -> bool) {
        self.lost.retain(|vm, _born| is_known(vm));
        self.silent.retain(|vm, _silent| is_known(vm));
        self.failed_orders.retain(|vm, _count| is_known(vm));
        self.queried_at.retain(|vm, _at| is_known(vm));
    }
}
