//! A node's observations of a target's progress.

use std::time;

use pier_types::times;

/// Progress of this node's own requests at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProgressFacts {
    /// Requests of this node that are in flight there.
    pub in_flight: u32,
    /// Requests of this node whose answer has begun.
    pub running: u32,
    /// When any of them last made progress; sending a request to an idle target counts as
    /// progress.
    pub last_progress: times::BootTime,
    /// Expected time of one pass with the current load.
    pub pass_time: time::Duration,
    /// Longest time that a pass can take with the current load: one that prefills as many prompts
    /// as fit.
    pub longest_pass: time::Duration,
    /// Expected time to a first event with the current load.
    pub first_event: time::Duration,
}
