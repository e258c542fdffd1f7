//! How candidates are ordered and refusals are told.

use std::time;

use crate::dispatch;

/// What makes a candidate count as slower than its expected time.
#[derive(Debug, Clone, Copy)]
pub(super) struct ScoreTerms {
    /// What a target of another data centre must be faster by.
    pub remote: time::Duration,
    /// Time by which a target that fails every request counts as slower.
    pub failing: time::Duration,
    /// Spread of the random part that keeps nodes with the same view from choosing the same target.
    pub spread: time::Duration,
}

impl ScoreTerms {
    /// Returns the time by which a candidate is ordered.
    pub fn score(
        &self,
        load: &dispatch::LoadFacts,
        expected: time::Duration,
        draw: u32,
        position: usize,
    ) -> time::Duration {
        let mixed = u32::try_from(position)
            .unwrap_or(0)
            .wrapping_mul(0x9E37_79B1);
        let mixed = (draw ^ mixed).wrapping_mul(0x85EB_CA6B) >> 8;
        let part = f64::from(mixed) / f64::from(u32::MAX >> 8);
        let way = if load.is_local {
            time::Duration::ZERO
        } else {
            self.remote
        };
        let failures = self.failing.mul_f64(load.failure_rate.clamp(0.0, 1.0));
        expected + way + failures + self.spread.mul_f64(part)
    }
}

/// Refuses, with a time to come back between two bounds.
pub(super) fn refuse(
    wait: time::Duration,
    expected: time::Duration,
    bounds: (time::Duration, time::Duration),
) -> dispatch::ChoiceOutcome {
    dispatch::ChoiceOutcome::Full {
        retry_after: wait.clamp(bounds.0, bounds.1),
        expected,
    }
}
