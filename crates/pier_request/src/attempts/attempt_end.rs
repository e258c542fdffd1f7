//! How an attempt ended without a whole answer.

use pier_types::codes;

/// The end of an attempt that brought no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No connection was made, so no byte of the request left this node.
    NotConnected,
    /// The target said that it did not start the request.
    NotStarted,
    /// The target was lost after bytes of the request may have reached it.
    Lost,
    /// The answer began and broke off.
    Broken,
    /// The target answered with a fault of its own, which another one may not have.
    Failed,
    /// The target answered that it can not do what is asked for.
    Rejected,
    /// The caller's deadline passed after the request was sent.
    TimedOut,
}

impl AttemptEnd {
    /// Returns whether the request ran in this attempt.
    pub const fn outcome(self) -> codes::RunOutcome {
        self.code().outcome()
    }

    /// Returns what a caller is told if no other attempt follows.
    pub const fn code(self) -> codes::ResultCode {
        match self {
            Self::NotConnected => codes::ResultCode::NoServingTarget,
            Self::NotStarted => codes::ResultCode::TargetRefused,
            Self::Lost => codes::ResultCode::TargetLost,
            Self::Broken => codes::ResultCode::StreamBroken,
            Self::Failed | Self::Rejected => codes::ResultCode::TargetFailed,
            Self::TimedOut => codes::ResultCode::DeadlinePassed,
        }
    }
}
