//! What a choice knows of a request.

use std::time;

/// One request as a choice sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestFacts {
    /// Prompt tokens, 0 when unknown.
    pub prompt: u64,
    /// Promised time to the first part. What passed before this send does not shorten it: a group
    /// that keeps the objective for fresh requests has room for one that lost time elsewhere.
    pub objective: time::Duration,
    /// Time that is left in all.
    pub time_left: time::Duration,
    /// Rank among requests, 0 first.
    pub rank: u8,
    /// Whether the caller already has a part of the answer.
    pub is_resumed: bool,
    /// How old the other nodes' loads are on average, zero where there is no other node.
    pub view_age: time::Duration,
    /// Requests that lost the same target as this one and look for another one now.
    pub displaced: u32,
    /// An evenly spread number that parts nodes which see the same loads.
    pub draw: u32,
}
