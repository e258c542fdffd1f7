//! The place of an admitted request.

use std::{sync, sync::atomic, time};

use crate::admission;

/// Holds one place in a pool until it is dropped.
#[derive(Debug)]
pub struct AdmissionTicket {
    lane: sync::Arc<admission::CustomerLane>,
    total: sync::Arc<atomic::AtomicU32>,
    clock: sync::Arc<admission::ServiceClock>,
}

impl AdmissionTicket {
    /// Wraps a request that was added to its lane and to the total.
    pub(super) const fn new(
        lane: sync::Arc<admission::CustomerLane>,
        total: sync::Arc<atomic::AtomicU32>,
        clock: sync::Arc<admission::ServiceClock>,
    ) -> Self {
        Self { lane, total, clock }
    }

    /// Records how long the target took for the whole answer.
    pub fn record_service(&self, elapsed: time::Duration) {
        self.clock.record(elapsed);
    }
}

impl Drop for AdmissionTicket {
    fn drop(&mut self) {
        self.lane.remove();
        self.total.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
