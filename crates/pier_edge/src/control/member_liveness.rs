//! Tracks which VMs do not answer.

use std::{collections, time};

use pier_types::{epochs, ids, times};

/// Interval between two queries to a VM that did not answer.
const QUERY_INTERVAL: time::Duration = time::Duration::from_millis(1_500);

/// Unanswered orders after which a VM counts as lost.
const MAX_FAILED_ORDERS: u32 = 4;

/// Tracks when VMs were queried and which of them did not answer.
#[derive(Debug, Default)]
pub(super) struct MemberLiveness {
    silent: collections::BTreeMap<ids::VmName, SilentMember>,
    failed_orders: collections::BTreeMap<ids::VmName, u32>,
    queried_at: collections::BTreeMap<ids::VmName, times::BootTime>,
}

#[derive(Debug, Clone, Copy)]
struct SilentMember {
    born: epochs::VmIncarnation,
}

impl MemberLiveness {
    /// Returns whether a VM counts as lost; one that has restarted since does not.
    pub(super) fn is_lost(&self, vm: &ids::VmName, born: epochs::VmIncarnation) -> bool {
        self.silent
            .get(vm)
            .is_some_and(|silent| silent.born == born)
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

    /// Returns the lost VMs that are due to be queried again, and records the queries.
    pub(super) fn due(&mut self, now: times::BootTime) -> Vec<ids::VmName> {
        let names: Vec<_> = self.silent.keys().cloned().collect();
        let due = names.into_iter();
        due.filter(|vm| self.should_query(vm, QUERY_INTERVAL, now))
            .collect()
    }

    pub(super) fn record_answer(&mut self, vm: &ids::VmName) {
        self.silent.remove(vm);
        self.failed_orders.remove(vm);
    }

    /// Records that this incarnation of a VM did not answer; returns whether that is new.
    pub(super) fn record_silence(&mut self, vm: &ids::VmName, born: epochs::VmIncarnation) -> bool {
        let previous = self.silent.insert(vm.clone(), SilentMember { born });
        previous.is_none_or(|previous| previous.born != born)
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
        self.record_silence(vm, born)
    }

    /// Forgets VMs that are no longer known.
    pub(super) fn retain(&mut self, is_known: impl Fn(&ids::VmName) -> bool) {
        self.silent.retain(|vm, _silent| is_known(vm));
        self.failed_orders.retain(|vm, _count| is_known(vm));
        self.queried_at.retain(|vm, _at| is_known(vm));
    }
}
