//! The limits of what is read of an answer.

/// A limit that an answer exceeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::serving) enum AnswerLimit {
    /// The bytes before the body.
    Head,
    /// The body of an answer that is buffered.
    Body,
    /// One event of a stream.
    Event,
    /// The memory for the unfinished answers of all targets.
    Budget,
}

impl AnswerLimit {
    pub(in crate::serving) const fn label(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Body => "body",
            Self::Event => "event",
            Self::Budget => "budget",
        }
    }

    /// Returns whether the target that exceeded it is at fault.
    pub(in crate::serving) const fn is_targets_own(self) -> bool {
        !matches!(self, Self::Budget)
    }
}
