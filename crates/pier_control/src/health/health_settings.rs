//! Limits on the age of probe results.

use std::time;

/// The maximum age of probe results for each decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthSettings {
    /// A group serves only while every member's last answered probe was sent within this time.
    pub freshness: time::Duration,
    /// A VM counts as silent when its last answered probe was sent longer ago than this.
    pub silent_after: time::Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            freshness: time::Duration::from_secs(3),
            silent_after: time::Duration::from_secs(5),
        }
    }
}
