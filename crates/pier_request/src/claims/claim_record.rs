//! The platform object that stores a claim.

use pier_types::{ids, times};
use serde::{Deserialize, Serialize};

use crate::claims;

/// Largest claim object; the platform stores values of up to 1 MB.
const MAX_RECORD_BYTES: usize = 900_000;

/// The value at `claim/CUSTOMER/KEY`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Fingerprint of the request that claimed the key.
    pub fingerprint: ids::RequestFingerprint,
    /// Identifies this claim among all claims of the key.
    pub nonce: ids::WriteNonce,
    /// The node that owns the claim.
    pub node: ids::NodeName,
    /// When it was claimed, by the owner's clock.
    pub claimed_at: times::WallTime,
    /// The latest time at which the run has ended, by the owner's clock.
    pub active_until: times::WallTime,
    /// What happened to the claimed request.
    pub state: claims::ClaimState,
}

impl ClaimRecord {
    /// Returns the key of the object.
    pub fn object_key(customer: &ids::CustomerName, key: &claims::IdempotencyKey) -> String {
        format!("claim/{customer}/{key}")
    }

    /// Encodes the record as the object's JSON value.
    ///
    /// # Errors
    /// Fails when the record cannot be encoded as JSON.
    pub fn to_bytes(&self) -> Result<Vec<u8>, claims::RecordError> {
        serde_json::to_vec(self).map_err(|error| claims::RecordError {
            reason: error.to_string(),
        })
    }

    /// Decodes an object's value.
    ///
    /// # Errors
    /// Fails when the value is not a claim.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, claims::RecordError> {
        serde_json::from_slice(bytes).map_err(|error| claims::RecordError {
            reason: error.to_string(),
        })
    }

    /// Returns the record with another state.
    #[must_use]
    pub fn with_state(mut self, state: claims::ClaimState) -> Self {
        self.state = state;
        self
    }

    /// Returns the record as finished, with the answer unless the object would become too large.
    #[must_use]
    pub fn with_answer(self, answer: claims::StoredAnswer) -> Self {
        let kept = self
            .clone()
            .with_state(claims::ClaimState::Finished { answer });
        let fits = kept
            .to_bytes()
            .is_ok_and(|bytes| bytes.len() <= MAX_RECORD_BYTES);
        if fits {
            return kept;
        }
        self.with_state(claims::ClaimState::FinishedUnkept)
    }
}
