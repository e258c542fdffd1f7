//! How fast load moves.

use std::time;

/// Times of leaving and returning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShiftPolicy {
    /// Time from hearing that the data centre is out to its last new request.
    pub leave_time: time::Duration,
    /// Least time from hearing that it is back to its whole part of the load.
    pub return_time: time::Duration,
}

impl Default for ShiftPolicy {
    fn default() -> Self {
        Self {
            leave_time: time::Duration::from_secs(2),
            return_time: time::Duration::from_secs(30),
        }
    }
}
