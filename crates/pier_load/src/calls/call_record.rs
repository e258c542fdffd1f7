//! A completed call.

use std::time;

use pier_types::times;

use crate::calls;

/// A call and its outcome, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRecord {
    /// What was sent.
    pub plan: calls::CallPlan,
    /// When it was sent.
    pub sent_at: times::BootTime,
    /// When the answer ended or was given up.
    pub ended_at: times::BootTime,
    /// The outcome.
    pub outcome: calls::CallOutcome,
    /// Time to the first token of a streamed answer.
    pub time_to_first_token: Option<time::Duration>,
    /// Times between consecutive tokens of a streamed answer.
    pub token_gaps: Vec<time::Duration>,
}

impl CallRecord {
    /// Returns whether the caller got its complete answer.
    pub fn is_complete(&self) -> bool {
        self.outcome == calls::CallOutcome::Complete
    }
}
