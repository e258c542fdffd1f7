//! A target whose limit this node has a part of.

use pier_limits::{shares, warmth};
use pier_types::{epochs, sizes, times};

use crate::{
    peers::{share_target, target_book},
    requests,
};

/// Generations are other keys, so that a ramp never sees another incarnation.
const ONE_INCARNATION: epochs::VmIncarnation = epochs::VmIncarnation::new(1);

/// What is known of a target over time.
#[derive(Debug)]
pub(super) struct KnownTarget {
    pub(super) target: share_target::ShareTarget,
    pub(super) ramp: warmth::WarmthRamp,
    /// When it was last among the targets.
    pub(super) seen_at: times::BootTime,
    /// The most that this node may have in flight there since it was last counted.
    pub(super) greatest: sizes::RequestCount,
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
            greatest: sizes::RequestCount::default(),
        }
    }

    /// Takes in what the control loops see now; the ramp hears each probe once.
    pub(super) fn see(&mut self, target: share_target::ShareTarget, now: times::BootTime) {
        let first = self.seen_at == now;
        self.seen_at = now;
        if first || target.probed_at > self.target.probed_at {
            let (state, probed_at) = (target.state, target.probed_at);
            self.ramp
                .record_report(ONE_INCARNATION, state, probed_at, now);
        }
        self.ramp.set_full(target.warm_limit);
        self.target = target;
    }

    /// Takes in what a request saw; returns whether the limit fell.
    pub(super) fn hear(&mut self, news: &requests::WarmthEvidence, now: times::BootTime) -> bool {
        let before = self.ramp.limit(now);
        match news.signal {
            requests::WarmthSignal::FirstToken(latency) => {
                self.ramp.record_answer(latency, news.seen_at);
            }
            requests::WarmthSignal::Failure => self.ramp.record_failure(news.seen_at),
        }
        self.ramp.limit(now) < before
    }

    /// Returns what this node has in flight; the most that it may have where nobody counts it now.
    pub(super) fn running(&self, running: &target_book::RunningMap) -> u32 {
        let key = (self.target.id.clone(), self.target.generation);
        running.get(&key).copied().unwrap_or(self.greatest).get()
    }

    /// Returns the target's present limit and its two parts.
    pub(super) fn split(&self, now: times::BootTime) -> (sizes::RequestCount, shares::LimitSplit) {
        let limit = self.ramp.limit(now);
        (limit, shares::LimitSplit::of(limit))
    }
}
