//! Keeps the promise that only what the customer's configuration allows is repeated, within a
//! budget and never past the deadline.

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
