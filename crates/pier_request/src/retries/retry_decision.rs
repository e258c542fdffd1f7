//! The decision after an attempt ended.

use std::time;

use pier_types::{codes, sizes};

/// Whether another attempt follows, and how.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request again.
    Retry {
        /// Time to wait before the next attempt.
        backoff: time::Duration,
        /// Number of tokens that the caller already has and the new attempt may skip.
        resume_from: sizes::TokenCount,
    },
    /// Answer the caller with this code; no retry is allowed.
    Stop(codes::ResultCode),
    /// Answer the caller with this code; a retry would be allowed, but a retry budget is empty.
    BudgetSpent(codes::ResultCode),
}
