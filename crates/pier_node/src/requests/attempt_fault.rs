//! Why an attempt brought no whole answer.

use pier_request::attempts;

/// The end of an attempt without a whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct AttemptFault {
    /// How it ended.
    pub(super) end: attempts::AttemptEnd,
    /// Whether the target's process may have died: it closed the connection, or failed.
    pub(super) may_have_died: bool,
    /// What happened, for people.
    pub(super) cause: String,
}

impl AttemptFault {
    /// Makes a fault that says nothing of the target's process.
    pub(super) fn new(end: attempts::AttemptEnd, cause: impl Into<String>) -> Self {
        Self {
            end,
            may_have_died: false,
            cause: cause.into(),
        }
    }

    /// Tells whether it speaks against the target being warm.
    ///
    /// A rejection speaks of the request, and a deadline of the caller as much as of the target.
    pub(super) const fn is_target_failure(&self) -> bool {
        !matches!(
            self.end,
            attempts::AttemptEnd::Rejected | attempts::AttemptEnd::TimedOut
        )
    }

    /// Makes a fault after which the target is asked whether it is still the same process.
    pub(super) fn with_possible_crash(end: attempts::AttemptEnd, cause: impl Into<String>) -> Self {
        Self {
            may_have_died: true,
            ..Self::new(end, cause)
        }
    }
}
