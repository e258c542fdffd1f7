//! Limits how many weight loads may start.

use pier_types::times;

/// A token bucket that limits weight loads to a planner's share of the published rate.
#[derive(Debug, Clone, Copy)]
pub struct LoadBudget {
    per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: times::BootTime,
}

impl LoadBudget {
    /// Creates an empty budget, so that a planner that takes over does not add to the loads its
    /// predecessor has just started.
    pub const fn new(now: times::BootTime) -> Self {
        Self {
            per_second: 0.0,
            burst: 0.0,
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Sets the rate per second and the burst, the number of loads that may start at once.
    pub fn set_rate(&mut self, per_second: f64, burst: f64) {
        self.per_second = per_second.max(0.0);
        self.burst = burst.max(1.0);
    }

    /// Takes one load from the budget; returns false if none is available.
    pub fn take(&mut self, now: times::BootTime) -> bool {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.burst);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
