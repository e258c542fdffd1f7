//! The properties of a request that matter for choosing a target.

use std::time;

use crate::urgency;

/// Properties of one request that is to be dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestFacts {
    /// Prompt tokens, 0 when unknown.
    pub prompt: u64,
    /// Promised time to the first part. Time spent before this send is not deducted: a group that
    /// meets the objective for new requests also has room for one that lost time at another
    /// target.
    pub objective: time::Duration,
    /// Time left until the request's deadline.
    pub time_left: time::Duration,
    /// Priority rank; 0 is the most urgent.
    pub rank: u8,
    /// Whether the caller has already received a part of the answer.
    pub is_resumed: bool,
    /// Mean age of the load received from other nodes; zero if there are none.
    pub view_age: time::Duration,
    /// Requests that lost the same target as this one and are being dispatched again now.
    pub displaced: u32,
    /// Recent demand for the request's model, by urgency.
    pub demand: urgency::DemandView,
    /// Uniformly distributed number that makes nodes with the same view choose differently.
    pub draw: u32,
}
