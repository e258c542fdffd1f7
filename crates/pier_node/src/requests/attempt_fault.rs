//! Why an attempt produced no complete answer.

use pier_request::attempts;

/// The end of an attempt without a complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct AttemptFault {
    /// How it ended.
    pub(super) end: attempts::AttemptEnd,
    /// Whether the target's process may have crashed: it closed the connection or answered with a
    /// server error.
    pub(super) may_have_crashed: bool,
    /// Description of the failure for people.
    pub(super) cause: String,
}

impl AttemptFault {
    /// Creates a fault that does not suggest a crash of the target's process.
    pub(super) fn new(end: attempts::AttemptEnd, cause: impl Into<String>) -> Self {
        Self {
            end,
            may_have_crashed: false,
            cause: cause.into(),
        }
    }

    /// Creates the fault of an answer that started and was cut off.
    pub(super) fn broken(cause: impl Into<String>) -> Self {
        Self::with_possible_crash(attempts::AttemptEnd::Broken, cause)
    }

    /// Returns whether it counts as a failure of the target in the warm-up evidence.
    ///
    /// A rejection is due to the request, and a missed deadline may be due to the caller's choice.
    pub(super) const fn is_target_failure(&self) -> bool {
        !matches!(
            self.end,
            attempts::AttemptEnd::Rejected | attempts::AttemptEnd::TimedOut
        )
    }

    /// Creates a fault after which the target is asked whether it is still the same process.
    pub(super) fn with_possible_crash(end: attempts::AttemptEnd, cause: impl Into<String>) -> Self {
        Self {
            may_have_crashed: true,
            ..Self::new(end, cause)
        }
    }
}
