//! What a target is told in addition to the request.

use std::time;

use pier_types::ids;

/// The terms on which one request is sent to a target.
#[derive(Debug, Clone)]
pub struct SendTerms<'a> {
    /// The intended target; another VM at its address refuses the request.
    pub vm: &'a ids::VmName,
    /// Time left for the answer.
    pub time_left: time::Duration,
    /// The customer who is charged.
    pub customer: Option<&'a ids::CustomerName>,
    /// Rank among the requests that wait at the target, 0 for the most urgent.
    pub rank: u8,
    /// Id of the event after which the target is to resume a stream.
    pub after_event: Option<&'a str>,
}
