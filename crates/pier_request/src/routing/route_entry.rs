//! One target as a routing decision sees it.

use std::{sync, time};

use pier_types::{routes, sizes, times};

use crate::routing;

/// Age from which a load report says nothing.
const MAX_REPORT_AGE: time::Duration = time::Duration::from_secs(5);

/// What one request weighs against a target with a share of one.
pub(super) const SCORE_SCALE: u64 = 1_024;

/// How many times a request weighs at a slow target.
const SLOW_FACTOR: u64 = 4;

/// A target, its last report, and what this node did since.
#[derive(Debug, Clone)]
pub struct RouteEntry {
    /// The target.
    pub target: sync::Arc<routes::RouteTarget>,
    /// What this node has there.
    pub counter: sync::Arc<routing::TargetCounter>,
    /// How many requests of this node had ended there when the report arrived.
    pub(super) finished_base: u32,
}

impl RouteEntry {
    /// Tells whether this node may send another request there.
    pub fn has_room(&self) -> bool {
        self.counter.in_flight() < self.limit()
    }

    /// Returns how many requests this node may have in flight there.
    pub fn limit(&self) -> sizes::RequestCount {
        self.target.share.min(self.counter.ceiling())
    }

    /// Returns the estimated number of requests there, of all nodes.
    pub fn estimated_load(&self, now: times::BootTime) -> u32 {
        let load = &self.target.load;
        let reported = load.running.get().saturating_add(load.queued.get());
        // A target that was not heard of for long must not look idle.
        let trusted = if now.since(load.probed_at) > MAX_REPORT_AGE {
            reported.max(self.target.share.get())
        } else {
            reported
        };
        let sent = self.counter.sent_since(load.probed_at);
        let ended = self.counter.finished().wrapping_sub(self.finished_base);
        let in_flight = self.counter.in_flight().get();
        // Sends are counted by buckets of time; what has ended already weighs nothing.
        let added = sent.saturating_sub(ended).min(in_flight);
        let removed = ended.saturating_sub(sent);
        let corrected = trusted.saturating_add(added).saturating_sub(removed);
        corrected.max(in_flight)
    }

    /// Returns how loaded it would be with one more request; smaller is better.
    pub(super) fn score(&self, now: times::BootTime) -> u64 {
        let load = u64::from(self.estimated_load(now)) + 1;
        let weight = if self.counter.is_slow() {
            SLOW_FACTOR
        } else {
            1
        };
        load * weight * SCORE_SCALE / u64::from(self.limit().get().max(1))
    }

    /// Takes a permit if the share allows.
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
