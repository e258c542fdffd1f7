//! What to do next about the record of an outcome.

use std::time;

use crate::claims;

/// The next step of an [`OutcomeFlow`](claims::OutcomeFlow).
#[derive(Debug, PartialEq, Eq)]
pub enum OutcomeAction {
    /// Send this write to the platform.
    Write(claims::ClaimWrite),
    /// Read the claim after a pause.
    Read {
        /// How long to wait first.
        backoff: time::Duration,
    },
    /// Nothing is left to do.
    Done {
        /// Whether the outcome is known to be recorded.
        recorded: bool,
    },
}
