//! Whether to try again.

use std::time;

use pier_types::{codes, sizes};

/// What follows the end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send it to another target.
    Retry {
        /// How long to wait first.
        backoff: time::Duration,
        /// Tokens that the new attempt may skip.
        resume_from: sizes::TokenCount,
    },
    /// Answer the caller at once; nothing more is tried.
    Stop(codes::ResultCode),
    /// Answer the caller at once; a retry would be allowed, but a budget is spent.
    BudgetSpent(codes::ResultCode),
}
