//! What became of a claim, as it is counted.

use prometheus_client::encoding::EncodeLabelValue;

/// What became of a claim, as it is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum ClaimOutcome {
    /// The key was claimed for this request.
    Claimed,
    /// The answer of an earlier run was given.
    Replayed,
    /// The request was not dispatched.
    Refused,
    /// The run ended with a known answer.
    Finished,
    /// Nothing ran, and the key was freed.
    Released,
    /// Nobody knows whether it ran.
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
