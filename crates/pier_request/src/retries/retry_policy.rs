//! The rules of retries.

use std::time;

use pier_types::{codes, times};

use crate::{attempts, retries};

/// Limits that hold for every request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Most attempts of one request.
    pub attempt_limit: u32,
    /// Pause before the second attempt; it doubles with each further one.
    pub first_pause: time::Duration,
    /// Time that must be left after the pause for an attempt to be worth making.
    pub least_time: time::Duration,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            attempt_limit: 3,
            first_pause: time::Duration::from_millis(10),
            least_time: time::Duration::from_millis(20),
        }
    }
}

impl RetryPolicy {
    /// Decides after the end of an attempt; a retry takes from both budgets.
    pub fn decide(
        &self,
        question: &retries::RetryQuestion<'_>,
        now: times::BootTime,
    ) -> retries::RetryDecision {
        let code = question.end.code();
        if !question.rule.allows(question.end) || question.attempts >= self.attempt_limit {
            return retries::RetryDecision::Stop(code);
        }
        if question.delivered.get() > 0 && !question.can_resume {
            return retries::RetryDecision::Stop(codes::ResultCode::StreamBroken);
        }
        let pause = self.pause_after(question);
        if now.after(pause).after(self.least_time) > question.deadline {
            return retries::RetryDecision::Stop(code);
        }
        if !question.customer_budget.take_with(question.node_budget) {
            return retries::RetryDecision::BudgetSpent(budget_code(question.end));
        }
        retries::RetryDecision::Retry {
            pause,
            resume_from: question.delivered,
        }
    }

    fn pause_after(&self, question: &retries::RetryQuestion<'_>) -> time::Duration {
        // A target that could not be reached or refused costs nothing to leave for another one.
        if question.attempts <= 1 {
            return time::Duration::ZERO;
        }
        let doublings = (question.attempts - 2).min(10);
        self.first_pause.saturating_mul(1 << doublings)
    }
}

/// Returns the code when the budgets are spent; only an end that did not run may say so.
const fn budget_code(end: attempts::AttemptEnd) -> codes::ResultCode {
    match end.outcome() {
        codes::RunOutcome::NotRun => codes::ResultCode::RetryBudgetSpent,
        codes::RunOutcome::Unknown | codes::RunOutcome::RanFailed => end.code(),
    }
}
