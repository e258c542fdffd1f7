//! What this node has at one target.

use std::sync::atomic;

use pier_types::{sizes, times};

use crate::routing;

/// Counts the requests of this node at one generation of one target.
#[derive(Debug, Default)]
pub struct TargetCounter {
    in_flight: atomic::AtomicU32,
    finished: atomic::AtomicU32,
    recent: routing::RecentSends,
}

impl TargetCounter {
    /// Returns the requests in flight.
    pub fn in_flight(&self) -> sizes::RequestCount {
        sizes::RequestCount::new(self.in_flight.load(atomic::Ordering::Relaxed))
    }

    /// Adds a request unless the share is in use.
    pub(super) fn try_add(&self, share: sizes::RequestCount, now: times::BootTime) -> bool {
        let order = atomic::Ordering::Relaxed;
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
