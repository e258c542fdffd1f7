//! The outcome of an attempt in the metrics.

use pier_request::attempts;
use prometheus_client::encoding::EncodeLabelValue;

/// The outcome of an attempt, as a label of its counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum AttemptOutcome {
    /// The answer was complete.
    Whole,
    /// The caller disconnected.
    CallerLeft,
    /// Another target that was asked too answered first.
    Outrun,
    /// No connection was made.
    NotConnected,
    /// The target reported that it did not start the request.
    NotStarted,
    /// The connection was lost after the target may have received the request.
    Lost,
    /// The answer ended early.
    Broken,
    /// The target answered with a failure.
    Failed,
    /// The target rejected the request.
    Rejected,
    /// The deadline passed.
    TimedOut,
}

impl AttemptOutcome {
    /// Every value.
    pub(super) const ALL: [Self; 10] = [
        Self::Whole,
        Self::CallerLeft,
        Self::Outrun,
        Self::NotConnected,
        Self::NotStarted,
        Self::Lost,
        Self::Broken,
        Self::Failed,
        Self::Rejected,
        Self::TimedOut,
    ];
}

impl From<attempts::AttemptEnd> for AttemptOutcome {
    fn from(end: attempts::AttemptEnd) -> Self {
        match end {
            attempts::AttemptEnd::NotConnected => Self::NotConnected,
            attempts::AttemptEnd::NotStarted => Self::NotStarted,
            attempts::AttemptEnd::Lost => Self::Lost,
            attempts::AttemptEnd::Broken => Self::Broken,
            attempts::AttemptEnd::Failed => Self::Failed,
            attempts::AttemptEnd::Rejected => Self::Rejected,
            attempts::AttemptEnd::TimedOut => Self::TimedOut,
        }
    }
}
