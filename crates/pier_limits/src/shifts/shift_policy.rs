//! How fast load is shifted.

use std::time;

/// The durations of going out of service and of returning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShiftPolicy {
    /// Time from when a node learns that the data centre is out of service until it sends it no
    /// new requests.
    pub leave_time: time::Duration,
    /// Minimum time from when a node learns that the data centre is in service again until it
    /// gets its full load.
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
