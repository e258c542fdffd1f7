//! The place of an admitted request.

use std::{sync, sync::atomic, time};

use crate::admission;

/// Holds one place in a pool until it is dropped.
#[derive(Debug)]
pub struct AdmissionPermit {
    counters: sync::Arc<admission::CustomerCounters>,
    total_in_flight: sync::Arc<atomic::AtomicU32>,
    service_times: sync::Arc<admission::ServiceTimes>,
}

impl AdmissionPermit {
    /// Wraps a request that was added to its lane and to the total.
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

    /// Records how long the target took for the whole answer.
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
