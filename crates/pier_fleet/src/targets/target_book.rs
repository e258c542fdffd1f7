//! Every registration that this node knows.

use std::{collections, time};

use pier_types::{ids, times};

use crate::targets;

/// How long after the store's return a missing registration may still come back.
///
/// The platform restores entries that lapsed during an outage within about two seconds; the rest
/// is for the way.
const RETURN_TIME: time::Duration = time::Duration::from_millis(2_200);

/// Collects registrations over outages of the store that holds them.
///
/// Keeps the promise that a target which is leaving gets no new work, and that an outage of the
/// store alone takes no target away.
#[derive(Debug, Clone, Default)]
pub struct TargetBook {
    records: collections::BTreeMap<ids::VmName, targets::TargetRecord>,
    returned_at: Option<times::BootTime>,
}

impl TargetBook {
    /// Returns the registrations, ended ones included until [`TargetBook::expire`].
    pub const fn records(&self) -> &collections::BTreeMap<ids::VmName, targets::TargetRecord> {
        &self.records
    }

    /// Notes that the store answers again after an outage.
    pub fn note_return(&mut self, now: times::BootTime) {
        self.returned_at = Some(now);
    }

    /// Takes in one registration as it is now.
    pub fn put(&mut self, mut entry: targets::TargetEntry, now: times::BootTime) {
        let cold_until = now.after(entry.cold_left);
        let known = self.records.get(&entry.vm);
        if let Some(known) = known {
            entry.standing = entry.standing.after(&known.entry.standing);
        }
        let unchanged = known.filter(|record| record.entry == entry);
        let record = targets::TargetRecord {
            // An unchanged entry is a repeated reading; its remaining cold time counts from the first.
            cold_until: unchanged.map_or(cold_until, |record| record.cold_until),
            seen_at: unchanged.map_or(now, |record| record.seen_at),
            ends_at: None,
            entry,
        };
        self.records.insert(record.entry.vm.clone(), record);
    }

    /// Takes in that a registration is gone.
    pub fn remove(&mut self, vm: &ids::VmName, now: times::BootTime) {
        let ends_at = self.removal_time(now);
        if let Some(record) = self.records.get_mut(vm) {
            record.ends_at.get_or_insert(ends_at);
        }
    }

    /// Takes in the whole list; what is not in it is gone.
    pub fn replace(&mut self, entries: Vec<targets::TargetEntry>, now: times::BootTime) {
        let listed: collections::BTreeSet<_> =
            entries.iter().map(|entry| entry.vm.clone()).collect();
        let known = self.records.keys().cloned();
        let missing: Vec<_> = known.filter(|vm| !listed.contains(vm)).collect();
        for vm in missing {
            self.remove(&vm, now);
        }
        for entry in entries {
            self.put(entry, now);
        }
    }

    /// Takes in what a target said when asked.
    ///
    /// Answers may cross orders on their way; one that counts fewer orders than are known is older.
    /// Addresses are used again: an answer of another start is another VM's, or one that will
    /// register itself. Returns whether the answer is of the registered start.
    pub fn hear(
        &mut self,
        vm: &ids::VmName,
        standing: &targets::TargetStanding,
        now: times::BootTime,
    ) -> bool {
        let Some(record) = self.records.get_mut(vm) else {
            return false;
        };
        let known = &mut record.entry.standing;
        if known.born != standing.born {
            return false;
        }
        if known.orders <= standing.orders {
            *known = standing.clone();
            record.seen_at = now;
        }
        true
    }

    /// Forgets how many orders a target has taken, after it refused an order for that count.
    pub fn forget_orders(&mut self, vm: &ids::VmName) {
        if let Some(record) = self.records.get_mut(vm) {
            record.entry.standing.orders = 0;
        }
    }

    /// Drops VMs that are gone for good; returns whether there were any.
    pub fn expire(&mut self, now: times::BootTime) -> bool {
        let before = self.records.len();
        self.records.retain(|_vm, record| record.may_work(now));
        before != self.records.len()
    }

    fn removal_time(&self, now: times::BootTime) -> times::BootTime {
        let restored_at = self.returned_at.map(|at| at.after(RETURN_TIME));
        restored_at.map_or(now, |at| at.max(now))
    }
}
