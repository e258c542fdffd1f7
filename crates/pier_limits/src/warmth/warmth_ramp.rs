//! The limit of one target over time.

use std::{collections, time};

use pier_types::{epochs, reports, sizes, times};

use crate::warmth;

/// Cuts a target's limit at once when there is evidence that it is cold, and raises it step by
/// step while there is proof that it is warm.
///
/// A target of unknown state counts as cold. Proof is a report of a warm engine by a probe that
/// was sent after the limit last changed, so that the target has handled each step before the
/// next one. Each step doubles the limit.
///
/// ```
/// use pier_limits::warmth;
/// use pier_types::{sizes, times};
///
/// let full = sizes::RequestCount::new(64);
/// let ramp = warmth::WarmthRamp::new(full, warmth::WarmthPolicy::default());
/// assert_eq!(ramp.limit(times::BootTime::default()).get(), 4);
/// ```
#[derive(Debug)]
pub struct WarmthRamp {
    full: sizes::RequestCount,
    policy: warmth::WarmthPolicy,
    level: sizes::RequestCount,
    changed_at: times::BootTime,
    warm_at: Option<times::BootTime>,
    incarnation: Option<epochs::VmIncarnation>,
    state: Option<reports::EngineState>,
    latency: warmth::TargetLatency,
    jumps: u32,
    failures: collections::BTreeSet<times::BootTime>,
}

impl WarmthRamp {
    /// Creates the ramp of a target of unknown state.
    pub fn new(full: sizes::RequestCount, policy: warmth::WarmthPolicy) -> Self {
        Self {
            full,
            policy,
            level: policy.cold.min(full),
            changed_at: times::BootTime::default(),
            warm_at: None,
            incarnation: None,
            state: None,
            latency: warmth::TargetLatency::default(),
            jumps: 0,
            failures: collections::BTreeSet::new(),
        }
    }

    /// Changes the full limit to that of the configuration.
    pub fn set_full(&mut self, full: sizes::RequestCount) {
        self.full = full;
        self.level = self.level.min(full);
    }

    /// Records a report from a probe that was sent at `probed_at`.
    pub fn record_report(
        &mut self,
        incarnation: epochs::VmIncarnation,
        state: reports::EngineState,
        probed_at: times::BootTime,
        now: times::BootTime,
    ) {
        let restarted = self.incarnation.is_some_and(|known| known != incarnation);
        self.incarnation = Some(incarnation);
        self.state = Some(state);
        let evidence_gap = self
            .warm_at
            .is_some_and(|warm_at| probed_at.since(warm_at) > self.policy.max_evidence_age);
        if restarted || evidence_gap || state != reports::EngineState::Warm {
            self.cut(now);
        }
        if state == reports::EngineState::Warm && !restarted {
            self.warm_at = self.warm_at.max(Some(probed_at));
            self.step(probed_at, now);
        }
    }

    /// Records the time to first token of an answer.
    pub fn record_answer(&mut self, latency: time::Duration, now: times::BootTime) {
        let jump_threshold = self.latency.average * self.policy.jump_factor;
        let jumped = self.latency.answers >= self.policy.jump_count && latency > jump_threshold;
        if !jumped {
            self.jumps = 0;
            self.latency.record(latency);
            return;
        }
        self.jumps += 1;
        if self.jumps >= self.policy.jump_count {
            self.jumps = 0;
            self.cut(now);
        }
    }

    /// Records a failure of the target.
    pub fn record_failure(&mut self, now: times::BootTime) {
        let burst_time = self.policy.burst_time;
        self.failures.retain(|at| now.since(*at) < burst_time);
        self.failures.insert(now);
        let limit = usize::try_from(self.policy.burst_count).unwrap_or(usize::MAX);
        if self.failures.len() >= limit {
            self.failures.clear();
            self.cut(now);
        }
    }

    /// Returns the latency of the target since its limit was last cut.
    pub const fn latency(&self) -> warmth::TargetLatency {
        self.latency
    }

    /// Returns the current limit.
    pub fn limit(&self, now: times::BootTime) -> sizes::RequestCount {
        let cold = self.policy.cold.min(self.full);
        match self.state {
            Some(reports::EngineState::Empty | reports::EngineState::Loading) => {
                sizes::RequestCount::new(0)
            }
            Some(reports::EngineState::Warm) if self.has_fresh_evidence(now) => self.level,
            Some(_) | None => cold.min(self.level),
        }
    }

    fn has_fresh_evidence(&self, now: times::BootTime) -> bool {
        let max_age = self.policy.max_evidence_age;
        self.warm_at.is_some_and(|at| now.since(at) <= max_age)
    }

    fn cut(&mut self, now: times::BootTime) {
        self.level = self.policy.cold.min(self.full);
        self.changed_at = now;
        self.warm_at = None;
        self.jumps = 0;
        self.latency = warmth::TargetLatency::default();
    }

    fn step(&mut self, probed_at: times::BootTime, now: times::BootTime) {
        let proven = probed_at > self.changed_at;
        let is_step_due = now.since(self.changed_at) >= self.policy.step_time;
        if !proven || !is_step_due || self.level >= self.full {
            return;
        }
        let doubled = self.level.get().saturating_mul(2).max(1);
        self.level = sizes::RequestCount::new(doubled).min(self.full);
        self.changed_at = now;
    }
}
