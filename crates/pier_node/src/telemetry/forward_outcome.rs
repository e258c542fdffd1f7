//! How a forward ended, as it is counted.

use prometheus_client::encoding::EncodeLabelValue;

/// How a forward ended, as it is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum ForwardOutcome {
    /// The other node answered.
    Answered,
    /// The other node was not reached.
    NotSent,
    /// The other node refused.
    Refused,
    /// The other node was lost.
    Lost,
}

impl ForwardOutcome {
    /// Every value.
    pub(super) const ALL: [Self; 4] = [Self::Answered, Self::NotSent, Self::Refused, Self::Lost];
}
