//! What is asked after an attempt ended.

use pier_types::{sizes, times};

use crate::{attempts, retries};

/// The state of a request whose attempt just ended.
#[derive(Debug, Clone, Copy)]
pub struct RetryContext<'a> {
    /// What may be repeated.
    pub rule: retries::RepeatRule,
    /// How the attempt ended.
    pub end: attempts::AttemptEnd,
    /// Attempts so far, this one included.
    pub attempts: u32,
    /// Tokens that the caller already has.
    pub delivered: sizes::TokenCount,
    /// Whether the targets can resume an answer.
    pub can_resume: bool,
    /// When the caller stops waiting.
    pub deadline: times::BootTime,
    /// The customer's budget.
    pub customer_budget: &'a retries::RetryBudget,
    /// The node's budget.
    pub node_budget: &'a retries::RetryBudget,
}
