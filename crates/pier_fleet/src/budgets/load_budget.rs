//! How many weight loads may begin.

use pier_types::times;

/// Lets weight loads begin at a planner's part of the published rate.
#[derive(Debug, Clone, Copy)]
pub struct LoadBudget {
    per_second: f64,
    most: f64,
    tokens: f64,
    filled_at: times::BootTime,
}

impl LoadBudget {
    /// Makes a budget that begins empty, so that a planner that follows another one adds nothing
    /// to what the former has begun.
    pub const fn new(now: times::BootTime) -> Self {
        Self {
            per_second: 0.0,
            most: 0.0,
            tokens: 0.0,
            filled_at: now,
        }
    }

    /// Sets the rate and how many loads may begin at once.
    pub fn set_rate(&mut self, per_second: f64, most: f64) {
        self.per_second = per_second.max(0.0);
        self.most = most.max(1.0);
    }

    /// Takes one load, if one is left.
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
