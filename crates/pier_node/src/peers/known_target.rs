//! A target whose request limit this node shares with the other nodes.

use pier_limits::{shares, warmth};
use pier_types::{epochs, sizes, times};

use crate::{
    peers::{share_target, target_limits},
    requests,
};

/// Incarnation given to every ramp. Another generation of a target has another key and so a ramp of
/// its own, which means that the incarnation never changes within a ramp.
const ONE_INCARNATION: epochs::VmIncarnation = epochs::VmIncarnation::new(1);

/// A target with its warm-up ramp and what this node may have in flight there.
#[derive(Debug)]
pub(super) struct KnownTarget {
    pub(super) target: share_target::ShareTarget,
    pub(super) ramp: warmth::WarmthRamp,
    /// When the target was last found.
    pub(super) seen_at: times::BootTime,
    /// Upper bound of this node's requests in flight there, as of the last update of its share.
    pub(super) max_in_flight: sizes::RequestCount,
}

impl KnownTarget {
    pub(super) fn new(target: share_target::ShareTarget, now: times::BootTime) -> Self {
        let policy = warmth::WarmthPolicy {
            cold: target.cold_limit,
            ..warmth::WarmthPolicy::default()
        };
        let ramp = warmth::WarmthRamp::new(target.warm_limit, policy);
        Self {
            target,
            ramp,
            seen_at: now,
            max_in_flight: sizes::RequestCount::default(),
        }
    }

    /// Replaces the target with a newer view of it, and passes a probe not seen before to the ramp.
    pub(super) fn update(&mut self, target: share_target::ShareTarget, now: times::BootTime) {
        let is_new = self.seen_at == now;
        self.seen_at = now;
        if is_new || target.probed_at > self.target.probed_at {
            let (state, probed_at) = (target.state, target.probed_at);
            self.ramp
                .record_report(ONE_INCARNATION, state, probed_at, now);
        }
        self.ramp.set_full(target.warm_limit);
        self.target = target;
    }

    /// Records what a request observed; returns whether this lowered the limit.
    pub(super) fn record_warmth(
        &mut self,
        evidence: &requests::WarmthEvidence,
        now: times::BootTime,
    ) -> bool {
        let before = self.ramp.limit(now);
        match evidence.signal {
            requests::WarmthSignal::FirstToken(latency) => {
                self.ramp.record_answer(latency, evidence.seen_at);
            }
            requests::WarmthSignal::Failure => self.ramp.record_failure(evidence.seen_at),
        }
        self.ramp.limit(now) < before
    }

    /// Returns this node's requests in flight, or their upper bound if the target is not counted
    /// any more.
    pub(super) fn running(&self, running: &target_limits::RunningMap) -> u32 {
        let key = (self.target.id.clone(), self.target.generation);
        running
            .get(&key)
            .copied()
            .unwrap_or(self.max_in_flight)
            .get()
    }

    /// Returns the target's current limit and how it splits into fixed and pooled parts.
    pub(super) fn split(&self, now: times::BootTime) -> (sizes::RequestCount, shares::LimitSplit) {
        let limit = self.ramp.limit(now);
        (limit, shares::LimitSplit::of(limit))
    }
}
