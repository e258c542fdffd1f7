//! What this node has at one target.

use std::sync::atomic;

use pier_types::{sizes, times};

use crate::routing;

/// Counts the requests of this node at one generation of one target.
///
/// Evidence of a cold or slow target takes effect here at once, ahead of the next table.
#[derive(Debug)]
pub struct TargetCounter {
    in_flight: atomic::AtomicU32,
    finished: atomic::AtomicU32,
    recent: routing::RecentSends,
    ceiling: atomic::AtomicU32,
    is_slow: atomic::AtomicBool,
}

impl Default for TargetCounter {
    fn default() -> Self {
        Self {
            in_flight: atomic::AtomicU32::default(),
            finished: atomic::AtomicU32::default(),
            recent: routing::RecentSends::default(),
            ceiling: atomic::AtomicU32::new(u32::MAX),
            is_slow: atomic::AtomicBool::default(),
        }
    }
}

impl TargetCounter {
    /// Bounds the requests in flight below every share, until it is called again.
    pub fn set_ceiling(&self, ceiling: sizes::RequestCount) {
        self.ceiling.store(ceiling.get(), atomic::Ordering::Relaxed);
    }

    /// Returns the bound on the requests in flight.
    pub fn ceiling(&self) -> sizes::RequestCount {
        sizes::RequestCount::new(self.ceiling.load(atomic::Ordering::Relaxed))
    }

    /// Says whether the target is slower than those that can stand in for it.
    pub fn set_slow(&self, is_slow: bool) {
        self.is_slow.store(is_slow, atomic::Ordering::Relaxed);
    }

    /// Tells whether the target is slower than those that can stand in for it.
    pub(super) fn is_slow(&self) -> bool {
        self.is_slow.load(atomic::Ordering::Relaxed)
    }

    /// Returns the requests in flight.
    pub fn in_flight(&self) -> sizes::RequestCount {
        sizes::RequestCount::new(self.in_flight.load(atomic::Ordering::Relaxed))
    }

    /// Adds a request unless the share is in use.
    pub(super) fn try_add(&self, share: sizes::RequestCount, now: times::BootTime) -> bool {
        let order = atomic::Ordering::Relaxed;
        let share = share.min(self.ceiling());
        let added = self.in_flight.fetch_update(order, order, |in_flight| {
            (in_flight < share.get()).then(|| in_flight + 1)
        });
        if added.is_err() {
            return false;
        }
        self.recent.add(now);
        true
    }

    /// Removes a request that ended.
    pub(super) fn remove(&self) {
        self.in_flight.fetch_sub(1, atomic::Ordering::Relaxed);
        self.finished.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Returns how many requests ended, modulo 2^32.
    pub(super) fn finished(&self) -> u32 {
        self.finished.load(atomic::Ordering::Relaxed)
    }

    /// Returns how many requests were sent since a time.
    pub(super) fn sent_since(&self, start: times::BootTime) -> u32 {
        self.recent.since(start)
    }
}
