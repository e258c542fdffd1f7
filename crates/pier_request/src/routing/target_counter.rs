//! The counters of this node for one target.

use std::sync::atomic;

use pier_types::{sizes, times};

use crate::routing;

/// Counts this node's requests at one generation of one target.
///
/// The limits for a cold or slow target are set here, so that they take effect at once and not only
/// with the next route table.
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
    /// Sets an upper bound on the requests in flight in addition to the share, until the next call.
    pub fn set_ceiling(&self, ceiling: sizes::RequestCount) {
        self.ceiling.store(ceiling.get(), atomic::Ordering::Relaxed);
    }

    /// Returns the bound on the requests in flight.
    pub fn ceiling(&self) -> sizes::RequestCount {
        sizes::RequestCount::new(self.ceiling.load(atomic::Ordering::Relaxed))
    }

    /// Sets whether the target is slower than the other targets of its pool.
    pub fn set_slow(&self, is_slow: bool) {
        self.is_slow.store(is_slow, atomic::Ordering::Relaxed);
    }

    /// Returns whether the target is marked as slower than the other targets of its pool.
    pub(super) fn is_slow(&self) -> bool {
        self.is_slow.load(atomic::Ordering::Relaxed)
    }

    /// Returns the requests in flight.
    pub fn in_flight(&self) -> sizes::RequestCount {
        sizes::RequestCount::new(self.in_flight.load(atomic::Ordering::Relaxed))
    }

    /// Adds a request if fewer than the share and the ceiling are in flight.
    pub(super) fn try_add(&self, share: sizes::RequestCount, now: times::BootTime) -> bool {
        let order = atomic::Ordering::Relaxed;
        let limit = share.min(self.ceiling());
        let added = self.in_flight.fetch_update(order, order, |in_flight| {
            (in_flight < limit.get()).then(|| in_flight + 1)
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

    /// Returns how many requests have ended, modulo 2^32.
    pub(super) fn finished(&self) -> u32 {
        self.finished.load(atomic::Ordering::Relaxed)
    }

    /// Returns how many requests were sent since a time.
    pub(super) fn sent_since(&self, start: times::BootTime) -> u32 {
        self.recent.since(start)
    }
}
