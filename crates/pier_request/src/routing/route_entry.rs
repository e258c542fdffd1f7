//! The state of one target that a routing decision reads.

use std::{sync, time};

use pier_types::{routes, sizes, times};

use crate::routing;

/// Age above which a load report is no longer trusted.
const MAX_REPORT_AGE: time::Duration = time::Duration::from_secs(5);

/// Score of one request at a target with a limit of one; the scale keeps the integer division
/// precise.
pub(super) const SCORE_SCALE: u64 = 1_024;

/// Factor on the score of a target that is marked as slow.
const SLOW_FACTOR: u64 = 4;

/// A target with its last load report and the counters of this node.
#[derive(Debug, Clone)]
pub struct RouteEntry {
    /// The target.
    pub target: sync::Arc<routes::RouteTarget>,
    /// The counters of this node for the target.
    pub counter: sync::Arc<routing::TargetCounter>,
    /// Value of the counter of ended requests when the report arrived.
    pub(super) finished_base: u32,
}

impl RouteEntry {
    /// Returns whether this node may send another request to the target.
    pub fn has_room(&self) -> bool {
        self.counter.in_flight() < self.limit()
    }

    /// Returns how many requests this node may have in flight at the target.
    pub fn limit(&self) -> sizes::RequestCount {
        self.target.share.min(self.counter.ceiling())
    }

    /// Returns the estimated number of requests of all nodes at the target: the last report,
    /// corrected by what this node sent and ended since.
    pub fn estimated_load(&self, now: times::BootTime) -> u32 {
        let load = &self.target.load;
        let reported = load.running.get().saturating_add(load.queued.get());
        // A target with an outdated report must not look idle.
        let trusted = if now.since(load.probed_at) > MAX_REPORT_AGE {
            reported.max(self.target.share.get())
        } else {
            reported
        };
        let sent = self.counter.sent_since(load.probed_at);
        let ended = self.counter.finished().wrapping_sub(self.finished_base);
        let in_flight = self.counter.in_flight().get();
        // Sends are counted in whole time buckets and may include some from before the report, so
        // the increase is limited to the requests still in flight.
        let added = sent.saturating_sub(ended).min(in_flight);
        let removed = ended.saturating_sub(sent);
        let corrected = trusted.saturating_add(added).saturating_sub(removed);
        corrected.max(in_flight)
    }

    /// Returns the load relative to the limit with one more request; smaller is better.
    pub(super) fn score(&self, now: times::BootTime) -> u64 {
        let load = u64::from(self.estimated_load(now)) + 1;
        let weight = if self.counter.is_slow() {
            SLOW_FACTOR
        } else {
            1
        };
        load * weight * SCORE_SCALE / u64::from(self.limit().get().max(1))
    }

    /// Acquires a permit if the limit allows another request.
    pub(super) fn acquire(&self, now: times::BootTime) -> Option<routing::RoutePermit> {
        if !self.counter.try_add(self.target.share, now) {
            return None;
        }
        Some(routing::RoutePermit::new(
            sync::Arc::clone(&self.target),
            sync::Arc::clone(&self.counter),
        ))
    }
}
