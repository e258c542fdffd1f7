//! All registrations known to this node.

use std::{collections, time};

use pier_types::{epochs, ids, times};

use crate::targets;

/// How long after the store's recovery a missing registration may still reappear.
///
/// The platform restores entries that lapsed during an outage within about two seconds; the rest
/// allows for delivery.
const RESTORE_TIME: time::Duration = time::Duration::from_millis(2_200);

/// How long the leaving of a VM is remembered when it has no registration: longer than a VM goes on
/// after its notice.
const NOTICE_LIFETIME: time::Duration = time::Duration::from_mins(15);

/// Keeps registrations, also during outages of the store that holds them.
///
/// A target that is leaving gets no new work, and an outage of the store alone removes no target.
#[derive(Debug, Clone, Default)]
pub struct TargetRegistry {
    records: collections::BTreeMap<ids::VmName, targets::TargetRecord>,
    store_returned_at: Option<times::BootTime>,
    notices: collections::BTreeMap<ids::VmName, LeavingNotice>,
    expired_at: times::BootTime,
    /// Until when a registration may be older than the known one.
    copy_until: times::BootTime,
}

/// The announcement of a VM, in one of its answers, that it leaves.
#[derive(Debug, Clone, Copy)]
struct LeavingNotice {
    /// The incarnation of the VM.
    born: epochs::VmIncarnation,
    noted_at: times::BootTime,
}

impl TargetRegistry {
    /// Returns the registrations; ended ones are included until [`TargetRegistry::expire`] drops
    /// them.
    pub const fn records(&self) -> &collections::BTreeMap<ids::VmName, targets::TargetRecord> {
        &self.records
    }

    /// Records that the store answers again after an outage; a return before the last one counts for
    /// nothing.
    pub fn note_store_return(&mut self, returned_at: times::BootTime) {
        self.store_returned_at = self.store_returned_at.max(Some(returned_at));
    }

    /// Returns how long ago the store's last return was noted; `None` if there was none.
    pub fn store_return_age(&self, now: times::BootTime) -> Option<time::Duration> {
        self.store_returned_at.map(|at| now.since(at))
    }

    /// Records that the store has come back from an older copy of itself, whose registrations may be
    /// older than the known ones until `copy_until`.
    pub fn note_store_copy(&mut self, copy_until: times::BootTime, now: times::BootTime) {
        self.note_store_return(now);
        self.copy_until = copy_until;
    }

    /// Adds or updates one registration, as read at version `read_at` of the store; one that was read
    /// before the known one is dropped.
    pub fn put(
        &mut self,
        mut entry: targets::TargetEntry,
        read_at: epochs::ObjectVersion,
        now: times::BootTime,
    ) {
        let cold_until = now.after(entry.cold_left);
        let known = self.records.get(&entry.vm);
        if let Some(known) = known {
            if read_at < known.read_at {
                return;
            }
            entry.standing = entry.standing.merge_known(&known.entry.standing);
            let is_same_start = known.entry.standing.born == entry.standing.born;
            let may_be_older = now < self.copy_until;
            entry.is_draining |= is_same_start && may_be_older && known.entry.is_draining;
        }
        entry.is_draining |= self.has_notice(&entry.vm, entry.standing.born);
        let unchanged = known.filter(|record| record.entry == entry);
        let record = targets::TargetRecord {
            // An unchanged entry is a repeated read; its remaining cold time counts from the first
            // read.
            cold_until: unchanged.map_or(cold_until, |record| record.cold_until),
            seen_at: unchanged.map_or(now, |record| record.seen_at),
            ends_at: None,
            read_at,
            entry,
        };
        self.records.insert(record.entry.vm.clone(), record);
    }

    /// Records that a VM incarnation announced that it leaves, whatever its registration says from now
    /// on; returns whether that is new.
    pub fn record_notice(
        &mut self,
        vm: &ids::VmName,
        born: epochs::VmIncarnation,
        now: times::BootTime,
    ) -> bool {
        if self
            .notices
            .get(vm)
            .is_some_and(|notice| notice.born >= born)
        {
            return false;
        }
        let notice = LeavingNotice {
            born,
            noted_at: now,
        };
        self.notices.insert(vm.clone(), notice);
        if let Some(record) = self.records.get_mut(vm) {
            record.entry.is_draining |= record.entry.standing.born == born;
        }
        true
    }

    fn has_notice(&self, vm: &ids::VmName, born: epochs::VmIncarnation) -> bool {
        let notice = self.notices.get(vm);
        notice.is_some_and(|notice| notice.born == born)
    }

    /// Marks a registration as removed from the store. It ends immediately, or, after an outage of
    /// the store, once the time for restoring it has passed. Nothing happens if the known registration
    /// was read after version `read_at` of the store.
    pub fn remove(
        &mut self,
        vm: &ids::VmName,
        read_at: epochs::ObjectVersion,
        now: times::BootTime,
    ) {
        let ends_at = self.removal_time(now);
        let record = self.records.get_mut(vm);
        if let Some(record) = record.filter(|record| record.read_at <= read_at) {
            record.ends_at.get_or_insert(ends_at);
            record.read_at = read_at;
        }
    }

    /// Applies a complete list, read at version `read_at` of the store; registrations that are not in
    /// it are removed. What was read later stays.
    pub fn replace(
        &mut self,
        entries: Vec<targets::TargetEntry>,
        read_at: epochs::ObjectVersion,
        now: times::BootTime,
    ) {
        let listed: collections::BTreeSet<_> =
            entries.iter().map(|entry| entry.vm.clone()).collect();
        let known = self.records.keys().cloned();
        let missing: Vec<_> = known.filter(|vm| !listed.contains(vm)).collect();
        for vm in missing {
            self.remove(&vm, read_at, now);
        }
        for entry in entries {
            self.put(entry, read_at, now);
        }
    }

    /// Applies the status that a target returned when queried.
    ///
    /// Answers and orders may overtake each other; an answer that counts fewer orders than are
    /// known is older and is ignored. Addresses are reused: an answer with another incarnation
    /// comes from another VM, or from one that has yet to register. Returns whether the answer is
    /// from the registered incarnation.
    pub fn apply_answer(
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

    /// Resets the number of orders a target has taken, after it refused an order because of that
    /// count.
    pub fn reset_orders(&mut self, vm: &ids::VmName) {
        if let Some(record) = self.records.get_mut(vm) {
            record.entry.standing.orders = 0;
        }
    }

    /// Drops VMs whose registration ended too long ago for them to work; returns whether any were
    /// dropped, or a registration has ended since the last call.
    pub fn expire(&mut self, now: times::BootTime) -> bool {
        let before = self.records.len();
        let last = std::mem::replace(&mut self.expired_at, now);
        let has_ended = self
            .records
            .values()
            .any(|record| record.ends_at.is_some_and(|end| last < end && end <= now));
        self.records
            .retain(|_vm, record| record.may_serve_group(now));
        let records = &self.records;
        self.notices.retain(|vm, notice| {
            records.contains_key(vm) || now.since(notice.noted_at) < NOTICE_LIFETIME
        });
        has_ended || before != self.records.len()
    }

    fn removal_time(&self, now: times::BootTime) -> times::BootTime {
        let restored_at = self.store_returned_at.map(|at| at.after(RESTORE_TIME));
        restored_at.map_or(now, |at| at.max(now))
    }
}
