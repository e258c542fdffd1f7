//! Why sending a request to a target brought no answer.

use crate::serving;

/// How far sending a request got before it failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum SendFault {
    /// No connection could be opened.
    Unreached(String),
    /// The connection ended before any byte of the request was written.
    NotSent(String),
    /// The connection failed after the request may have been written, so it may have run.
    MayHaveRun(String),
    /// The answer exceeded a limit, and the connection was closed.
    TooLarge(serving::AnswerLimit),
    /// The node to which the request was passed on refused it, and it has not run.
    Refused(serving::NodeRefusal),
    /// No answer came within the time for this send.
    TimedOut,
}

impl SendFault {
    /// Returns whether a byte of the request may have reached the target.
    pub(super) const fn may_have_run(&self) -> bool {
        matches!(
            self,
            Self::MayHaveRun(_) | Self::TooLarge(_) | Self::TimedOut
        )
    }
}
