//! The object on the platform that holds a claim.

use pier_types::{ids, times};
use serde::{Deserialize, Serialize};

use crate::claims;

/// Largest claim object in bytes; the platform holds values up to a megabyte.
const RECORD_LIMIT: usize = 900_000;

/// The value at `claim/CUSTOMER/KEY`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// What was asked for under the key.
    pub fingerprint: ids::RequestFingerprint,
    /// Tells this claim from any other of the same key.
    pub nonce: ids::WriteNonce,
    /// The node that owns the claim.
    pub node: ids::NodeName,
    /// When it was claimed, by the owner's clock.
    pub claimed_at: times::WallTime,
    /// When its run has ended at the latest, by the owner's clock.
    pub active_until: times::WallTime,
    /// What became of it.
    pub state: claims::ClaimState,
}

impl ClaimRecord {
    /// Returns the key of the object.
    pub fn object_key(customer: &ids::CustomerName, key: &claims::IdempotencyKey) -> String {
        format!("claim/{customer}/{key}")
    }

    /// Encodes the object's value.
    ///
    /// # Errors
    /// Fails when JSON cannot hold the record.
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

    /// Returns the record with the answer, without it when it is too large to be kept.
    #[must_use]
    pub fn with_answer(self, answer: claims::StoredAnswer) -> Self {
        let kept = self
            .clone()
            .with_state(claims::ClaimState::Finished { answer });
        let fits = kept
            .to_bytes()
            .is_ok_and(|bytes| bytes.len() <= RECORD_LIMIT);
        if fits {
            return kept;
        }
        self.with_state(claims::ClaimState::FinishedUnkept)
    }
}
