//! What may run more than once.

/// How often a route's requests may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatRule {
    /// Any number of times.
    Idempotent,
    /// Once at most.
    OneTime,
    /// A stream that may be continued behind its last event.
    ResumableStream,
    /// A stream that may run once at most.
    OneTimeStream,
}

impl RepeatRule {
    /// Tells whether a request that may have run may be sent again.
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Tells whether answers are streams of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::OneTimeStream)
    }
}
