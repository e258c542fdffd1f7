//! What a target is told beside the request.

use std::time;

use pier_types::ids;

/// Terms of one send.
#[derive(Debug, Clone)]
pub struct SendTerms<'a> {
    /// The target that is meant; another one at its address refuses.
    pub vm: &'a ids::VmName,
    /// How long the target may work.
    pub time_left: time::Duration,
    /// Who pays.
    pub customer: Option<&'a ids::CustomerName>,
    /// Rank among the requests that wait at the target, 0 first.
    pub rank: u8,
    /// Event of the stream behind which the target is to go on.
    pub after_event: Option<&'a str>,
}
