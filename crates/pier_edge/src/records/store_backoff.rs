//! Pauses between calls to the store.

use std::time;

/// First pause after a call that failed.
const MIN_DELAY: time::Duration = time::Duration::from_millis(60);

/// Longest pause after calls that failed: with the call itself well under the two seconds after an
/// outage within which registrations are whole again.
const MAX_DELAY: time::Duration = time::Duration::from_secs(1);

/// The same at a steward, on whose word the nodes of its data centre rely.
const STEWARD_MAX_DELAY: time::Duration = time::Duration::from_millis(400);

/// Doubles the pause with each failure, and cuts it by chance.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StoreBackoff {
    failures: u32,
}

impl StoreBackoff {
    /// Returns whether the calls before this one had failed.
    pub(crate) fn reset(&mut self) -> bool {
        let failed = self.failures > 0;
        self.failures = 0;
        failed
    }

    /// Returns how many calls in a row have failed.
    pub(crate) const fn failures(self) -> u32 {
        self.failures
    }

    /// Returns the next pause; `draw` is between 0 and 1.
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
