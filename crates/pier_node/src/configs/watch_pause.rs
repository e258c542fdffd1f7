//! How long to wait before the platform is asked again.

use std::time;

/// First pause, at most.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(250);
/// Longest pause.
const LONGEST_PAUSE: time::Duration = time::Duration::from_secs(4);

/// Pauses that double while the platform is away, each cut by chance so that nodes spread out.
///
/// ```
/// use std::time;
/// use pier_node::configs;
///
/// let mut pause = configs::WatchPause::default();
/// assert_eq!(pause.next(1.0), time::Duration::from_millis(250));
/// assert_eq!(pause.next(0.0), time::Duration::from_millis(250));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct WatchPause {
    limit: time::Duration,
}

impl Default for WatchPause {
    fn default() -> Self {
        Self { limit: FIRST_PAUSE }
    }
}

impl WatchPause {
    /// Returns the next pause: between half the limit and all of it, by a draw from 0 to 1.
    pub fn next(&mut self, draw: f64) -> time::Duration {
        let share = f64::midpoint(1.0, draw.clamp(0.0, 1.0));
        let pause = self.limit.mul_f64(share);
        self.limit = (self.limit * 2).min(LONGEST_PAUSE);
        pause
    }

    /// Starts anew after an answer.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
