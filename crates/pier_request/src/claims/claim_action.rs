//! What to do next about a claim.

use std::time;

use pier_types::codes;

use crate::claims;

/// The next step of a [`ClaimFlow`](claims::ClaimFlow).
#[derive(Debug)]
pub enum ClaimAction {
    /// Send this write to the platform.
    Write(claims::ClaimWrite),
    /// Read the claim after a pause.
    Read {
        /// How long to wait first.
        backoff: time::Duration,
    },
    /// Dispatch the request: the claim is this node's.
    Dispatch(claims::ClaimGrant),
    /// Answer with what the earlier run answered.
    Reply(claims::StoredAnswer),
    /// Refuse the request; this node will not dispatch it.
    Refuse {
        /// What to tell the caller.
        code: codes::ResultCode,
        /// Writes that free the key for a re-send, to be made after the refusal.
        cleanup: Option<claims::OutcomeFlow>,
    },
}
