//! How an attempt ended without a complete answer.

use pier_types::codes;

/// The end of an attempt that did not deliver a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No connection was made, so no byte of the request left this node.
    NotConnected,
    /// The target reported that it did not start the request.
    NotStarted,
    /// The connection to the target was lost after bytes of the request may have reached it.
    Lost,
    /// The answer started but was cut off.
    Broken,
    /// The target answered with an internal error, which another target may not have.
    Failed,
    /// The target rejected the request as one that it cannot serve.
    Rejected,
    /// The caller's deadline passed after the request was sent.
    TimedOut,
}

impl AttemptEnd {
    /// Returns whether the request ran in this attempt.
    pub const fn outcome(self) -> codes::RunOutcome {
        self.code().outcome()
    }

    /// Returns the result code for the caller if no other attempt follows.
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
