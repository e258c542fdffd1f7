//! The rules of retries.

use std::time;

use pier_types::{codes, times};

use crate::{attempts, retries};

/// Limits that hold for every request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// Pause before the second attempt; it doubles with each further one.
    pub initial_backoff: time::Duration,
    /// Time that must be left after the pause for an attempt to be worth making.
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
    /// Decides after the end of an attempt; a retry takes from both budgets.
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
        // A target that could not be reached or refused costs nothing to leave for another one.
        if context.attempts <= 1 {
            return time::Duration::ZERO;
        }
        let doublings = (context.attempts - 2).min(10);
        self.initial_backoff.saturating_mul(1 << doublings)
    }
}

/// Returns the code when the budgets are spent; only an end that did not run may say so.
const fn budget_code(end: attempts::AttemptEnd) -> codes::ResultCode {
    match end.outcome() {
        codes::RunOutcome::NotRun => codes::ResultCode::RetryBudgetSpent,
        codes::RunOutcome::Unknown | codes::RunOutcome::RanFailed => end.code(),
    }
}
