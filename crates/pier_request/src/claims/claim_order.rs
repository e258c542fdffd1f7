//! What a node wants to claim.

use pier_types::{ids, times};

use crate::claims;

/// The request that is to be claimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimOrder {
    /// What is asked for.
    pub fingerprint: ids::RequestFingerprint,
    /// Drawn at random for this order alone.
    pub nonce: ids::WriteNonce,
    /// This node.
    pub node: ids::NodeName,
    /// The present time of day.
    pub claimed_at: times::WallTime,
    /// When the run will have ended at the latest.
    pub active_until: times::WallTime,
    /// The last moment to dispatch: the sooner of the caller's deadline and the check of the key's
    /// age plus [`ClaimRetention::margin`](claims::ClaimRetention::margin).
    pub dispatch_by: times::BootTime,
}

impl ClaimOrder {
    /// Returns the record that claims the key.
    pub fn record(&self) -> claims::ClaimRecord {
        claims::ClaimRecord {
            fingerprint: self.fingerprint,
            nonce: self.nonce,
            node: self.node.clone(),
            claimed_at: self.claimed_at,
            active_until: self.active_until,
            state: claims::ClaimState::Claimed,
        }
    }
}
