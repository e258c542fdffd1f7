//! How long to wait before the platform is asked again.

use std::time;

/// First pause, at most.
const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(250);
/// Longest pause.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(4);

/// Pauses that double while the platform is away, each cut by chance so that nodes spread out.
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
    /// Returns the next pause: between half the limit and all of it, by a draw from 0 to 1.
    pub fn next(&mut self, draw: f64) -> time::Duration {
        let share = f64::midpoint(1.0, draw.clamp(0.0, 1.0));
        let backoff = self.limit.mul_f64(share);
        self.limit = (self.limit * 2).min(MAX_BACKOFF);
        backoff
    }

    /// Starts anew after an answer.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
