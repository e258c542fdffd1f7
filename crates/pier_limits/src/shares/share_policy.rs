//! The durations that all nodes have to agree on.

use std::time;

/// How long shares last and how long requests may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharePolicy {
    /// Lifetime of a share, counted by the receiver from when it sent the ask.
    pub life: time::Duration,
    /// Maximum duration of a request; targets end it then by its deadline.
    pub work_limit: time::Duration,
    /// The lease holder stops granting this long before its lease ends.
    pub lease_margin: time::Duration,
}

impl Default for SharePolicy {
    fn default() -> Self {
        Self {
            life: time::Duration::from_secs(15),
            work_limit: time::Duration::from_mins(2),
            lease_margin: time::Duration::from_millis(500),
        }
    }
}

impl SharePolicy {
    /// Returns how long after its last ask a node may still have work running under a share.
    pub fn charge_time(&self) -> time::Duration {
        self.life + self.work_limit
    }
}
