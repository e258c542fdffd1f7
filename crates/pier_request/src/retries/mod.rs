//! Retries: which requests may be sent again, within which budget and up to which deadline.

mod repeat_rule;
mod retry_budget;
mod retry_context;
mod retry_decision;
mod retry_policy;

pub use repeat_rule::RepeatRule;
pub use retry_budget::RetryBudget;
pub use retry_context::RetryContext;
pub use retry_decision::RetryDecision;
pub use retry_policy::RetryPolicy;
