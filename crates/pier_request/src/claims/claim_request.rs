//! The input of a claim.

use pier_types::{ids, times};

use crate::claims;

/// One request for which a node claims a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Fingerprint of the caller's request.
    pub fingerprint: ids::RequestFingerprint,
    /// Random number that identifies this claim among all claims of the key.
    pub nonce: ids::WriteNonce,
    /// The name of this node.
    pub node: ids::NodeName,
    /// The current wall-clock time.
    pub claimed_at: times::WallTime,
    /// The latest time at which the run will have ended.
    pub active_until: times::WallTime,
    /// The latest time to dispatch: the caller's deadline, or the time at which the key's age was
    /// checked plus [`ClaimRetention::margin`](claims::ClaimRetention::margin) if that is earlier.
    pub dispatch_by: times::BootTime,
}

impl ClaimRequest {
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
