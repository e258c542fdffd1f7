//! The next step of a claim.

use std::time;

use pier_types::codes;

use crate::claims;

/// What the driver of a [`ClaimFlow`](claims::ClaimFlow) has to do next.
#[derive(Debug)]
pub enum ClaimAction {
    /// Send this write to the platform.
    Write(claims::ClaimWrite),
    /// Read the claim after a back-off.
    Read {
        /// Time to wait before the read.
        backoff: time::Duration,
    },
    /// Dispatch the request: this node owns the claim.
    Dispatch(claims::ClaimGrant),
    /// Replay the stored answer of the earlier run.
    Reply(claims::StoredAnswer),
    /// Refuse the request; this node does not dispatch it.
    Refuse {
        /// The result code for the caller.
        code: codes::ResultCode,
        /// Releases the key for another attempt of the caller; to be run after the refusal.
        cleanup: Option<claims::OutcomeFlow>,
    },
}
