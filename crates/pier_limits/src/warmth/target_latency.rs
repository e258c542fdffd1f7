//! The latency of a target.

use std::time;

/// Exponential smoothing: the newest answer counts for one part in this many.
const SMOOTHING: u32 = 8;

/// The smoothed time to first token of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetLatency {
    /// The smoothed time.
    pub average: time::Duration,
    /// Number of answers that it is computed from.
    pub answers: u32,
}

impl TargetLatency {
    /// Records the time to first token of one answer.
    pub fn record(&mut self, latency: time::Duration) {
        self.average = if self.answers == 0 {
            latency
        } else {
            (self.average * (SMOOTHING - 1) + latency) / SMOOTHING
        };
        self.answers = self.answers.saturating_add(1);
    }
}
