//! Limits how many weight loads may start.

use pier_types::times;

/// A token bucket that limits weight loads to a planner's share of the published rate.
#[derive(Debug, Clone, Copy)]
pub struct LoadBudget {
    per_second: f64,
    most: f64,
    tokens: f64,
    filled_at: times::BootTime,
}

impl LoadBudget {
    /// Creates an empty budget, so that a planner that takes over does not add to the loads its
    /// predecessor has just started.
    pub const fn new(now: times::BootTime) -> Self {
        Self {
            per_second: 0.0,
            most: 0.0,
            tokens: 0.0,
            filled_at: now,
        }
    }

    /// Sets the rate per second and the burst, the number of loads that may start at once.
    pub fn set_rate(&mut self, per_second: f64, most: f64) {
        self.per_second = per_second.max(0.0);
        self.most = most.max(1.0);
    }

    /// Takes one load from the budget; returns false if none is available.
    pub fn take(&mut self, now: times::BootTime) -> bool {
        let passed = now.since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.per_second).min(self.most);
        self.filled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
