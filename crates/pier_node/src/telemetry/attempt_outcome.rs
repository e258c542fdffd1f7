//! How an attempt ended, as it is counted.

use pier_request::attempts;
use prometheus_client::encoding::EncodeLabelValue;

/// How an attempt ended, as it is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum AttemptOutcome {
    /// With a whole answer.
    Whole,
    /// Its caller left.
    CallerLeft,
    /// No connection was made.
    NotConnected,
    /// The target did not start it.
    NotStarted,
    /// The target was lost.
    Lost,
    /// The answer broke off.
    Broken,
    /// The target failed.
    Failed,
    /// The target rejected it.
    Rejected,
    /// The deadline passed.
    TimedOut,
}

impl AttemptOutcome {
    /// Every value.
    pub(super) const ALL: [Self; 9] = [
        Self::Whole,
        Self::CallerLeft,
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
