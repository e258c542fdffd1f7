//! The load and the recent demand of one customer in a pool.

use std::sync::atomic;

use pier_types::times;

use crate::admission;

/// The counters of one customer in one pool.
#[derive(Debug, Default)]
pub(super) struct CustomerCounters {
    in_flight: atomic::AtomicU32,
    peak_demand: admission::WindowCounter,
    refused: admission::WindowCounter,
}

impl CustomerCounters {
    /// Returns the requests in flight.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight.load(atomic::Ordering::Relaxed)
    }

    /// Returns the recent demand: the most requests that the customer would have had in flight at
    /// once if none had been refused.
    pub(super) fn demand(&self, now: times::BootTime) -> u32 {
        self.peak_demand.recent(now).max(self.in_flight())
    }

    /// Returns how many requests the customer is short of its demand, counted up to its share.
    pub(super) fn unmet_share(&self, share: u32, now: times::BootTime) -> u32 {
        self.demand(now).min(share).saturating_sub(self.in_flight())
    }

    /// Records the arrival of a request.
    pub(super) fn record_arrival(&self, now: times::BootTime) {
        self.peak_demand
            .raise(self.in_flight().saturating_add(1), now);
    }

    /// Records a refusal; the refused request counts as demand.
    pub(super) fn record_refusal(&self, now: times::BootTime) {
        let refused = self.refused.add(now);
        self.peak_demand
            .raise(self.in_flight().saturating_add(refused), now);
    }

    /// Adds a request if fewer than `limit` are in flight.
    pub(super) fn try_add(&self, limit: u32) -> bool {
        let order = atomic::Ordering::Relaxed;
        let added = self.in_flight.fetch_update(order, order, |in_flight| {
            (in_flight < limit).then(|| in_flight + 1)
        });
        added.is_ok()
    }

    /// Removes a request that ended.
    pub(super) fn remove(&self) {
        self.in_flight.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
