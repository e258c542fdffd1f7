//! One call that is over.

use std::time;

use pier_types::times;

use crate::calls;

/// What a caller saw of its call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRecord {
    /// What was sent.
    pub plan: calls::CallPlan,
    /// When it was sent.
    pub sent_at: times::BootTime,
    /// When the last of it came back.
    pub ended_at: times::BootTime,
    /// What became of it.
    pub outcome: calls::CallOutcome,
    /// Time to the first token of a streamed answer.
    pub time_to_first_token: Option<time::Duration>,
    /// Times between the tokens of a streamed answer.
    pub token_gaps: Vec<time::Duration>,
}

impl CallRecord {
    /// Tells whether the caller has its whole answer.
    pub fn is_complete(&self) -> bool {
        self.outcome == calls::CallOutcome::Complete
    }
}
