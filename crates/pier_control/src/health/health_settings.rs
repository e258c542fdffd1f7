//! Bounds on the age of evidence.

use std::time;

/// How old evidence may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthSettings {
    /// A group serves only on evidence that is younger than this, counted from the probe's sending.
    pub freshness: time::Duration,
    /// A VM counts as silent when its evidence is older than this.
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
