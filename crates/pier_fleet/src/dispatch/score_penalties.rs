//! Scores candidates and builds refusals.

use std::time;

use crate::dispatch;

/// Penalties that are added to a candidate's expected time before candidates are compared.
#[derive(Debug, Clone, Copy)]
pub(super) struct ScorePenalties {
    /// Penalty for a target that fails every request; scaled by the failure rate.
    pub failing: time::Duration,
    /// Upper bound of the random jitter that keeps nodes with the same view from choosing the same
    /// target.
    pub jitter: time::Duration,
}

impl ScorePenalties {
    /// Returns the candidate's expected time, priced by its data centre, plus penalties and
    /// jitter; the lowest score is chosen.
    pub fn score(
        &self,
        load: &dispatch::LoadFacts,
        expected: time::Duration,
        draw: u32,
        position: usize,
    ) -> time::Duration {
        let hashed = u32::try_from(position)
            .unwrap_or(0)
            .wrapping_mul(0x9E37_79B1);
        let hashed = (draw ^ hashed).wrapping_mul(0x85EB_CA6B) >> 8;
        let fraction = f64::from(hashed) / f64::from(u32::MAX >> 8);
        let failure_penalty = self.failing.mul_f64(load.failure_rate.clamp(0.0, 1.0));
        expected + failure_penalty + self.jitter.mul_f64(fraction)
    }
}

/// Returns a refusal whose retry time is `wait`, clamped to `bounds`.
pub(super) fn refuse(
    wait: time::Duration,
    expected: time::Duration,
    bounds: (time::Duration, time::Duration),
) -> dispatch::ChoiceOutcome {
    dispatch::ChoiceOutcome::Full {
        retry_after: wait.clamp(bounds.0, bounds.1),
        expected,
        is_reserved: false,
    }
}
