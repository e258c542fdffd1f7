//! The input of a retry decision.

use pier_types::{sizes, times};

use crate::{attempts, retries};

/// The state of a request whose attempt just ended.
#[derive(Debug, Clone, Copy)]
pub struct RetryContext<'a> {
    /// The rule for sending the request again.
    pub rule: retries::RepeatRule,
    /// How the attempt ended.
    pub end: attempts::AttemptEnd,
    /// Number of attempts so far, this one included.
    pub attempts: u32,
    /// Number of tokens that the caller already has.
    pub delivered: sizes::TokenCount,
    /// Whether the targets can resume an answer after a given token.
    pub can_resume: bool,
    /// When the caller stops waiting.
    pub deadline: times::BootTime,
    /// The customer's retry budget.
    pub customer_budget: &'a retries::RetryBudget,
    /// The node's retry budget.
    pub node_budget: &'a retries::RetryBudget,
}
