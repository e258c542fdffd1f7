//! The right to dispatch one request once.

use pier_types::{epochs, times};

use crate::claims;

/// Proof that this node owns a claim; it cannot be cloned, so it is used for one dispatch.
#[derive(Debug)]
pub struct ClaimGrant {
    version: epochs::ObjectVersion,
    record: claims::ClaimRecord,
    dispatch_by: times::BootTime,
}

impl ClaimGrant {
    pub(super) const fn new(
        version: epochs::ObjectVersion,
        record: claims::ClaimRecord,
        dispatch_by: times::BootTime,
    ) -> Self {
        Self {
            version,
            record,
            dispatch_by,
        }
    }

    /// Returns whether it is still early enough to send the request.
    ///
    /// To be checked right before the send, so that a node that was paused in between does not
    /// dispatch on an outdated claim.
    pub fn may_dispatch(&self, now: times::BootTime) -> bool {
        now <= self.dispatch_by
    }

    /// Records the answer of the completed run.
    pub fn finish(self, answer: claims::StoredAnswer) -> claims::OutcomeFlow {
        let record = self.record.with_answer(answer);
        claims::OutcomeFlow::new(Some(self.version), record)
    }

    /// Records that the request ran and that its answer is not stored because it is too large.
    pub fn finish_unkept(self) -> claims::OutcomeFlow {
        let record = self.record.with_state(claims::ClaimState::FinishedUnkept);
        claims::OutcomeFlow::new(Some(self.version), record)
    }

    /// Records that the outcome is unknown.
    pub fn mark_lost(self) -> claims::OutcomeFlow {
        let record = self.record.with_state(claims::ClaimState::Lost);
        claims::OutcomeFlow::new(Some(self.version), record)
    }

    /// Releases the key when the request certainly did not run.
    pub fn release(self) -> claims::OutcomeFlow {
        let record = self.record.with_state(claims::ClaimState::Released);
        claims::OutcomeFlow::new(Some(self.version), record)
    }
}
