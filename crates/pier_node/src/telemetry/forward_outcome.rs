//! The outcome of a forwarded request in the metrics.

use prometheus_client::encoding::EncodeLabelValue;

/// The outcome of forwarding a request to another node, as a label of its counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum ForwardOutcome {
    /// The other node answered.
    Answered,
    /// The other node was not reached.
    NotSent,
    /// The other node refused.
    Refused,
    /// The connection to the other node was lost.
    Lost,
}

impl ForwardOutcome {
    /// Every value.
    pub(super) const ALL: [Self; 4] = [Self::Answered, Self::NotSent, Self::Refused, Self::Lost];
}
