//! The latency of a target.

use std::time;

/// Exponential smoothing: the newest answer counts for one part in this many.
const SMOOTHING: u32 = 8;

/// The smoothed time to first token of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetPace {
    /// The smoothed time.
    pub latency: time::Duration,
    /// Number of answers that it is computed from.
    pub answers: u32,
}

impl TargetPace {
    /// Records the time to first token of one answer.
    pub fn answer(&mut self, latency: time::Duration) {
        self.latency = if self.answers == 0 {
            latency
        } else {
            (self.latency * (SMOOTHING - 1) + latency) / SMOOTHING
        };
        self.answers = self.answers.saturating_add(1);
    }
}
