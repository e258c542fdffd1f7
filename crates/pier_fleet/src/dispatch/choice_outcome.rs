//! How a choice ended.

use std::time;

/// Where a request goes, or why it is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceOutcome {
    /// It goes to the candidate at this position.
    Send {
        /// Position among the candidates.
        position: usize,
        /// Expected time to the first part.
        expected: time::Duration,
    },
    /// No candidate would answer in time.
    Full {
        /// When a candidate is expected to have room again.
        retry_after: time::Duration,
        /// Expected time to the first part at the best candidate.
        expected: time::Duration,
    },
    /// There is no candidate.
    NoTarget,
}
