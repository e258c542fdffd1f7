//! What became of a wish to retry, as it is counted.

use prometheus_client::encoding::EncodeLabelValue;

/// What became of a wish to retry, as it is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum RetryOutcome {
    /// It was granted.
    Granted,
    /// A budget was spent.
    BudgetSpent,
}

impl RetryOutcome {
    /// Every value.
    pub(super) const ALL: [Self; 2] = [Self::Granted, Self::BudgetSpent];
}
