//! The result of choosing a target.

use std::time;

/// Where a request goes, or why it is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceOutcome {
    /// The request is sent to the candidate at `position`.
    Send {
        /// Index into the candidates.
        position: usize,
        /// Expected time to the first part.
        expected: time::Duration,
    },
    /// Every candidate is expected to answer too late or is at its limit.
    Full {
        /// Time after which a candidate is expected to have room again.
        retry_after: time::Duration,
        /// Expected time to the first part at the best candidate.
        expected: time::Duration,
        /// Whether a candidate has room that is kept for more urgent requests.
        is_reserved: bool,
    },
    /// There is no candidate.
    NoTarget,
}
