//! Durations of the control lease.

use std::time;

/// How long a lease lasts and how its keeper paces itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Life of a lease, from before its write was sent.
    pub duration: time::Duration,
    /// The holder stops this long before the end; covers clocks that run at different rates.
    pub margin: time::Duration,
    /// Nodes take over spread over this time, so that few of them write at once.
    pub takeover_spread: time::Duration,
    /// Pause between two tries of the same call.
    pub retry_delay: time::Duration,
    /// A call without an answer counts as lost after this time.
    pub call_timeout: time::Duration,
    /// The object is watched; it is read this often in case the watch misses something.
    pub read_interval: time::Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            duration: time::Duration::from_secs(10),
            margin: time::Duration::from_secs(1),
            takeover_spread: time::Duration::from_secs(1),
            retry_delay: time::Duration::from_millis(500),
            call_timeout: time::Duration::from_secs(2),
            read_interval: time::Duration::from_secs(30),
        }
    }
}
