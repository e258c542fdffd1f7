//! Rules on repeating requests.

use serde::{Deserialize, Serialize};

/// Whether a route's requests may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatRule {
    /// Any number of times.
    Idempotent,
    /// At most once.
    OneTime,
    /// A stream that may be resumed after its last event.
    ResumableStream,
    /// A stream that may run at most once.
    OneTimeStream,
}

impl RepeatRule {
    /// Returns whether a request that may already have run may be sent again.
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether answers are event streams.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::OneTimeStream)
    }
}
