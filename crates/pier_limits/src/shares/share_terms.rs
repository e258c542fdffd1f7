//! The times that all nodes agree on.

use std::time;

/// How long shares last and how long work may go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareTerms {
    /// How long a share lasts, counted by the receiver from its question.
    pub life: time::Duration,
    /// The longest that a request may run; targets end it then by its deadline.
    pub work_limit: time::Duration,
    /// Stop granting this long before the lease ends.
    pub lease_margin: time::Duration,
}

impl Default for ShareTerms {
    fn default() -> Self {
        Self {
            life: time::Duration::from_secs(15),
            work_limit: time::Duration::from_mins(2),
            lease_margin: time::Duration::from_millis(500),
        }
    }
}

impl ShareTerms {
    /// Returns how long after its last question a node may have work under a share.
    pub fn charge_time(&self) -> time::Duration {
        self.life + self.work_limit
    }
}
