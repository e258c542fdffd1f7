//! The outcome of a retry decision in the metrics.

use prometheus_client::encoding::EncodeLabelValue;

/// Whether a retry was granted, as a label of its counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum RetryOutcome {
    /// It was granted.
    Granted,
    /// A retry budget was exhausted.
    BudgetSpent,
}

impl RetryOutcome {
    /// Every value.
    pub(super) const ALL: [Self; 2] = [Self::Granted, Self::BudgetSpent];
}
