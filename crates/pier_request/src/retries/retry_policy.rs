//! The limits on retries of one request.

use std::time;

use pier_types::{codes, times};

use crate::{attempts, retries};

/// Retry limits that apply to every request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Most attempts of one request, the first one included.
    pub max_attempts: u32,
    /// Back-off before the third attempt; it doubles with each further one. The second attempt
    /// follows at once.
    pub initial_backoff: time::Duration,
    /// Time that must be left before the deadline after the back-off, or no attempt is made.
    pub min_attempt_time: time::Duration,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            initial_backoff: time::Duration::from_millis(10),
            min_attempt_time: time::Duration::from_millis(20),
        }
    }
}

impl RetryPolicy {
    /// Decides whether to retry after an attempt ended; a retry takes from both budgets.
    pub fn decide(
        &self,
        context: &retries::RetryContext<'_>,
        now: times::BootTime,
    ) -> retries::RetryDecision {
        let code = context.end.code();
        if !context.rule.allows(context.end) || context.attempts >= self.max_attempts {
            return retries::RetryDecision::Stop(code);
        }
        if context.delivered.get() > 0 && !context.can_resume {
            return retries::RetryDecision::Stop(codes::ResultCode::StreamBroken);
        }
        let backoff = self.backoff_after(context);
        if now.after(backoff).after(self.min_attempt_time) > context.deadline {
            return retries::RetryDecision::Stop(code);
        }
        if !context.customer_budget.take_both(context.node_budget) {
            return retries::RetryDecision::BudgetSpent(budget_code(context.end));
        }
        retries::RetryDecision::Retry {
            backoff,
            resume_from: context.delivered,
        }
    }

    fn backoff_after(&self, context: &retries::RetryContext<'_>) -> time::Duration {
        // Moving from one target that failed or refused to another costs nothing, so the first
        // retry is immediate.
        if context.attempts <= 1 {
            return time::Duration::ZERO;
        }
        let doublings = (context.attempts - 2).min(10);
        self.initial_backoff.saturating_mul(1 << doublings)
    }
}

/// Returns the code for an empty retry budget. `RetryBudgetSpent` tells the caller that the request
/// did not run, so any other end keeps its own code.
const fn budget_code(end: attempts::AttemptEnd) -> codes::ResultCode {
    match end.outcome() {
        codes::RunOutcome::NotRun => codes::ResultCode::RetryBudgetSpent,
        codes::RunOutcome::Unknown | codes::RunOutcome::RanFailed => end.code(),
    }
}
