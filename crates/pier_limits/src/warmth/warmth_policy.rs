//! The parameters of a cold start.

use std::time;

use pier_types::sizes;

/// How a limit rises, and what reduces it to that of a cold target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WarmthPolicy {
    /// The number of requests that a cold target can handle.
    pub cold: sizes::RequestCount,
    /// Minimum time between two steps of the limit.
    pub step_time: time::Duration,
    /// Maximum age of the latest report that the target is warm.
    pub max_evidence_age: time::Duration,
    /// An answer that takes more than this many times the usual latency counts as a jump.
    pub jump_factor: u32,
    /// Number of consecutive jumps after which the target counts as cold.
    pub jump_count: u32,
    /// Number of failures within the burst time after which the target counts as cold.
    pub burst_count: u32,
    /// The time window in which failures are counted together.
    pub burst_time: time::Duration,
}

impl Default for WarmthPolicy {
    fn default() -> Self {
        Self {
            cold: sizes::RequestCount::new(4),
            step_time: time::Duration::from_secs(1),
            max_evidence_age: time::Duration::from_secs(4),
            jump_factor: 4,
            jump_count: 4,
            burst_count: 3,
            burst_time: time::Duration::from_secs(2),
        }
    }
}
