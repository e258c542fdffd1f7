//! The next step in the record of an outcome.

use std::time;

use crate::claims;

/// What the driver of an [`OutcomeFlow`](claims::OutcomeFlow) has to do next.
#[derive(Debug, PartialEq, Eq)]
pub enum OutcomeAction {
    /// Send this write to the platform.
    Write(claims::ClaimWrite),
    /// Read the claim after a back-off.
    Read {
        /// Time to wait before the read.
        backoff: time::Duration,
    },
    /// The flow has ended.
    Done {
        /// Whether the outcome is known to be recorded.
        recorded: bool,
    },
}
