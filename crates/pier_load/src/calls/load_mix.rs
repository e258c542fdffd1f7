//! The mix of calls of a load.

use std::time;

use pier_types::rates;

/// The distribution from which a schedule is drawn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadMix {
    /// Mean arrival rate.
    pub rate: rates::RequestRate,
    /// Shortest answer, in tokens.
    pub min_tokens: u64,
    /// Longest answer, in tokens.
    pub max_tokens: u64,
    /// Percentage of calls that are streamed.
    pub streamed_percent: u32,
    /// Percentage of calls with priority high; the same percentage has priority low.
    pub unusual_percent: u32,
    /// Number of different prompt prefixes, such as a customer's templates.
    pub shared_prefixes: u32,
    /// Deadline of each call.
    pub deadline: time::Duration,
}
