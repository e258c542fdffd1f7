//! Why sending a request to a target brought no answer.

use pier_request::attempts;

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
    /// The target broke its answer off while the node left it unread, for lack of memory.
    Unread(String),
    /// The answer exceeded a limit, and the connection was closed.
    TooLarge(serving::AnswerLimit),
    /// The node to which the request was passed on refused it, and it has not run.
    Refused(serving::NodeRefusal),
    /// No answer came within the time for this send.
    TimedOut,
}

impl SendFault {
    /// Returns the fault of a body that ended for this reason and is not the whole one.
    pub(super) fn of_end(reason: &str, pause: attempts::UnreadPause) -> Self {
        if pause.explains_end() {
            Self::Unread(reason.to_owned())
        } else {
            Self::MayHaveRun(reason.to_owned())
        }
    }

    /// Returns whether the node itself is why no answer came, and not the target.
    pub(super) const fn is_own(&self) -> bool {
        matches!(
            self,
            Self::Unread(_) | Self::TooLarge(serving::AnswerLimit::Budget)
        )
    }

    /// Returns whether a byte of the request may have reached the target.
    pub(super) const fn may_have_run(&self) -> bool {
        matches!(
            self,
            Self::MayHaveRun(_) | Self::Unread(_) | Self::TooLarge(_) | Self::TimedOut
        )
    }
}
