//! What calls are made of.

use std::time;

use pier_types::rates;

/// The mix that a schedule is drawn from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadMix {
    /// Mean rate of arrivals.
    pub rate: rates::RequestRate,
    /// Shortest answer, in tokens.
    pub min_tokens: u64,
    /// Longest answer, in tokens.
    pub max_tokens: u64,
    /// Calls of a hundred that are streamed.
    pub streamed_percent: u32,
    /// Calls of a hundred with priority high, and as many with low.
    pub unusual_percent: u32,
    /// Prompts that begin alike, as those of one customer's template do.
    pub shared_prefixes: u32,
    /// Time that callers wait.
    pub deadline: time::Duration,
}
