//! Durations of the control lease.

use std::time;

/// How long a lease lasts, and when its object is read and written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Duration of a lease, which its holder counts from before the write was sent.
    pub duration: time::Duration,
    /// The holder stops using the lease this long before its end, since the clocks of other nodes
    /// may run at a different rate.
    pub margin: time::Duration,
    /// Nodes that try to take over do so at random delays up to this time, so that few of them
    /// write at once.
    pub takeover_spread: time::Duration,
    /// Delay between two attempts of the same call.
    pub retry_delay: time::Duration,
    /// A call that gets no answer within this time has failed.
    pub call_timeout: time::Duration,
    /// Interval between reads of the object, in case the watch on it misses a change.
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
