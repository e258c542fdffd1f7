//! The figures of a cold start.

use std::time;

use pier_types::sizes;

/// How a limit rises and what cuts it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WarmthPolicy {
    /// What a cold target can bear.
    pub cold: sizes::RequestCount,
    /// Least time between two steps.
    pub step_time: time::Duration,
    /// Age at which evidence of warmth no longer counts.
    pub evidence_bound: time::Duration,
    /// How many times slower than usual an answer counts as a jump.
    pub jump_factor: u32,
    /// Answers that must jump in a row before the target counts as cold.
    pub jump_count: u32,
    /// Failures within the burst time before the target counts as cold.
    pub burst_count: u32,
    /// The time in which failures are counted together.
    pub burst_time: time::Duration,
}

impl Default for WarmthPolicy {
    fn default() -> Self {
        Self {
            cold: sizes::RequestCount::new(4),
            step_time: time::Duration::from_secs(1),
            evidence_bound: time::Duration::from_secs(4),
            jump_factor: 4,
            jump_count: 4,
            burst_count: 3,
            burst_time: time::Duration::from_secs(2),
        }
    }
}
