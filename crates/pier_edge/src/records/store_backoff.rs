//! Back-off between failed calls to the store.

use std::time;

/// Delay after the first failed call.
const MIN_DELAY: time::Duration = time::Duration::from_millis(60);

/// Longest delay. Together with the call itself it is well under the two seconds after an outage
/// within which the registrations have to be complete again.
const MAX_DELAY: time::Duration = time::Duration::from_secs(1);

/// Longest delay at a steward, whose data centre's nodes depend on its relay messages.
const STEWARD_MAX_DELAY: time::Duration = time::Duration::from_millis(400);

/// Doubles the delay with each failure and applies a random reduction of up to one half.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StoreBackoff {
    failures: u32,
}

impl StoreBackoff {
    /// Resets the back-off after a successful call; returns whether the call before it had failed.
    pub(crate) fn reset(&mut self) -> bool {
        let failed = self.failures > 0;
        self.failures = 0;
        failed
    }

    /// Returns how many calls in a row have failed.
    pub(crate) const fn failures(self) -> u32 {
        self.failures
    }

    /// Counts a failure and returns the delay after it; `draw` is a random number from 0 to 1.
    pub(crate) fn next_delay(&mut self, is_steward: bool, draw: f64) -> time::Duration {
        let last = if is_steward {
            STEWARD_MAX_DELAY
        } else {
            MAX_DELAY
        };
        let delay = MIN_DELAY * 2_u32.saturating_pow(self.failures.min(6));
        self.failures += 1;
        delay.min(last).mul_f64(0.5 + draw.clamp(0.0, 1.0) / 2.0)
    }
}
