//! How fast a target answers.

use std::time;

/// Smoothing: the newest answer counts for one part in this many.
const SMOOTHING: u32 = 8;

/// The smoothed time to the first token of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetPace {
    /// The smoothed time.
    pub latency: time::Duration,
    /// Answers that went into it.
    pub answers: u32,
}

impl TargetPace {
    /// Takes in one answer.
    pub fn answer(&mut self, latency: time::Duration) {
        self.latency = if self.answers == 0 {
            latency
        } else {
            (self.latency * (SMOOTHING - 1) + latency) / SMOOTHING
        };
        self.answers = self.answers.saturating_add(1);
    }
}
