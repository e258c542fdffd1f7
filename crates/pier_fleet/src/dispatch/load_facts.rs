//! What is known of a target's load.

use std::time;

/// One target as a choice sees it; counts cover all nodes as far as they were heard of.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadFacts {
    /// Requests whose first part has come.
    pub running: u32,
    /// Requests that were sent and have not begun.
    pub waiting: u32,
    /// Prompt tokens of those that have not begun.
    pub waiting_prompt: u64,
    /// Requests that the target works on at once.
    pub slots: u32,
    /// How many times slower than published the target is, 1 or more.
    pub slowness: f64,
    /// Part of the last answers that the target failed, 0 to 1.
    pub failure_rate: f64,
    /// Whether the target stands in this node's data centre.
    pub is_local: bool,
    /// Whether a cold target's share for this node is used up.
    pub is_used_up: bool,
    /// Mean time of an answer, for plain targets.
    pub answer_time: time::Duration,
}

impl LoadFacts {
    /// Returns all requests in flight.
    pub const fn in_flight(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}
