//! Back-off between failed calls to the store.

use std::time;

use pier_fleet::stewards;

/// Counts failed calls in a row.
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

    /// Counts a failure and returns how many calls in a row have failed.
    pub(crate) fn record_failure(&mut self) -> u32 {
        self.failures = self.failures.saturating_add(1);
        self.failures
    }

    /// Counts a failed write and returns the delay after it; `draw` is a random number from 0 to 1.
    pub(crate) fn next_delay(&mut self, draw: f64) -> time::Duration {
        stewards::retry_delay(self.record_failure(), draw)
    }
}
