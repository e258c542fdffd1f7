//! The slot of an admitted request.

use std::{sync, sync::atomic, time};

use crate::admission;

/// Counts one request as in flight in a pool until the permit is dropped.
#[derive(Debug)]
pub struct AdmissionPermit {
    counters: sync::Arc<admission::CustomerCounters>,
    total_in_flight: sync::Arc<atomic::AtomicU32>,
    service_times: sync::Arc<admission::ServiceTimes>,
}

impl AdmissionPermit {
    /// Wraps a request that was added to its customer's counters and to the pool's total.
    pub(super) const fn new(
        counters: sync::Arc<admission::CustomerCounters>,
        total_in_flight: sync::Arc<atomic::AtomicU32>,
        service_times: sync::Arc<admission::ServiceTimes>,
    ) -> Self {
        Self {
            counters,
            total_in_flight,
            service_times,
        }
    }

    /// Records the time from the dispatch of the request to the end of its answer.
    pub fn record_service_time(&self, elapsed: time::Duration) {
        self.service_times.record(elapsed);
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.counters.remove();
        self.total_in_flight.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
