//! The outcome of a claim in the metrics.

use prometheus_client::encoding::EncodeLabelValue;

/// The outcome of a claim of an idempotency key, as a label of its counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum ClaimOutcome {
    /// The key was claimed for this request.
    Claimed,
    /// The stored answer of an earlier run was returned.
    Replayed,
    /// The request was not dispatched.
    Refused,
    /// The run ended with a known answer.
    Finished,
    /// The request did not run, and the key was released.
    Released,
    /// It is not known whether the request ran.
    Unknown,
}

impl ClaimOutcome {
    /// Every value.
    pub(super) const ALL: [Self; 6] = [
        Self::Claimed,
        Self::Replayed,
        Self::Refused,
        Self::Finished,
        Self::Released,
        Self::Unknown,
    ];
}
