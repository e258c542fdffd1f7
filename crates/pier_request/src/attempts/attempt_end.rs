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
    /// The target ran the request and answered with a failure.
    Failed,
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
            Self::Failed => codes::ResultCode::TargetFailed,
            Self::TimedOut => codes::ResultCode::DeadlinePassed,
        }
    }

    /// Tells whether the target may have died of this attempt or beside it.
    pub const fn is_loss(self) -> bool {
        matches!(self, Self::Lost | Self::Broken)
    }
}
