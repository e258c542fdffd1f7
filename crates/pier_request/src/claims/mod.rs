//! Claims that let a one-time request, one with an idempotency key, run at most once.
//!
//! A node writes a claim to the platform before it dispatches such a request, and no other node
//! takes a claim over while the request may have started. See `docs/design/one-time-requests.md`.

mod claim_action;
mod claim_event;
mod claim_flow;
mod claim_grant;
mod claim_record;
mod claim_request;
mod claim_retention;
mod claim_state;
mod claim_write;
mod idempotency_key;
mod outcome_action;
mod outcome_flow;
mod record_error;
mod stored_answer;

pub use claim_action::ClaimAction;
pub use claim_event::ClaimEvent;
pub use claim_flow::ClaimFlow;
pub use claim_grant::ClaimGrant;
pub use claim_record::ClaimRecord;
pub use claim_request::ClaimRequest;
pub use claim_retention::ClaimRetention;
pub use claim_state::ClaimState;
pub use claim_write::ClaimWrite;
pub use idempotency_key::IdempotencyKey;
pub use outcome_action::OutcomeAction;
pub use outcome_flow::OutcomeFlow;
pub use record_error::RecordError;
pub use stored_answer::{StoredAnswer, StoredBody};

use std::time;

/// Most platform calls for one claim or for the record of one outcome.
const MAX_CALLS: u32 = 16;

/// Back-off before the first read after a write; it doubles with each call.
const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(5);

/// Longest back-off between two platform calls.
const MAX_BACKOFF: time::Duration = time::Duration::from_millis(500);

/// Returns the back-off before a platform call, from the number of calls made so far.
fn backoff_after(calls: u32) -> time::Duration {
    let factor = 1_u32 << calls.saturating_sub(1).min(10);
    INITIAL_BACKOFF.saturating_mul(factor).min(MAX_BACKOFF)
}
