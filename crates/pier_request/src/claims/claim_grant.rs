//! The right to dispatch one request once.

use pier_types::{epochs, times};

use crate::claims;

/// Proof that this node owns the claim; it can not be copied.
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

    /// Tells whether it is still early enough to send the request.
    ///
    /// Asked last before the send, so that a node that was paused meanwhile gives the claim up.
    pub fn may_dispatch(&self, now: times::BootTime) -> bool {
        now <= self.dispatch_by
    }

    /// Records the answer of the run.
    pub fn finish(self, answer: claims::StoredAnswer) -> claims::OutcomeFlow {
        let record = self.record.with_answer(answer);
        claims::OutcomeFlow::new(Some(self.version), record)
    }

    /// Records that it ran and that its answer is too large to be kept.
    pub fn finish_unkept(self) -> claims::OutcomeFlow {
        let record = self.record.with_state(claims::ClaimState::FinishedUnkept);
        claims::OutcomeFlow::new(Some(self.version), record)
    }

    /// Records that the outcome is unknown.
    pub fn mark_lost(self) -> claims::OutcomeFlow {
        let record = self.record.with_state(claims::ClaimState::Lost);
        claims::OutcomeFlow::new(Some(self.version), record)
    }

    /// Frees the key, after an attempt that certainly did not run.
    pub fn release(self) -> claims::OutcomeFlow {
        let record = self.record.with_state(claims::ClaimState::Released);
        claims::OutcomeFlow::new(Some(self.version), record)
    }
}
