//! The back-off between watches of the platform.

use std::time;

/// Upper bound of the first delay.
const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(250);
/// Upper bound of all delays.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(4);

/// Exponential back-off while the platform is unavailable, with jitter so that nodes do not retry
/// all at once.
///
/// ```
/// use std::time;
/// use pier_node::configs;
///
/// let mut backoff = configs::WatchBackoff::default();
/// assert_eq!(backoff.next(1.0), time::Duration::from_millis(250));
/// assert_eq!(backoff.next(0.0), time::Duration::from_millis(250));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct WatchBackoff {
    limit: time::Duration,
}

impl Default for WatchBackoff {
    fn default() -> Self {
        Self {
            limit: INITIAL_BACKOFF,
        }
    }
}

impl WatchBackoff {
    /// Returns the next delay and doubles the limit. The delay grows with `random`, a number from 0
    /// to 1, from half the current limit to all of it.
    pub fn next(&mut self, random: f64) -> time::Duration {
        let share = f64::midpoint(1.0, random.clamp(0.0, 1.0));
        let backoff = self.limit.mul_f64(share);
        self.limit = (self.limit * 2).min(MAX_BACKOFF);
        backoff
    }

    /// Resets the delay to its initial limit after an answer.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
