//! Cancels an attempt whose answer is no longer awaited.

use crate::{requests, telemetry};

/// Cancels an attempt at its target when dropped, unless it has ended.
#[derive(Debug)]
pub(super) struct AttemptGuard {
    call: Option<requests::AttemptCall>,
    outcome: telemetry::AttemptOutcome,
}

impl AttemptGuard {
    /// Guards an attempt that is about to be sent.
    pub(super) const fn new(call: requests::AttemptCall) -> Self {
        Self {
            call: Some(call),
            outcome: telemetry::AttemptOutcome::CallerLeft,
        }
    }

    /// Drops the guard of an attempt that has ended.
    pub(super) fn disarm(mut self) {
        self.call = None;
    }

    /// Cancels an attempt because another target answered first.
    pub(super) fn cancel_outrun(mut self) {
        self.outcome = telemetry::AttemptOutcome::Outrun;
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if let Some(call) = &self.call {
            call.handle.metrics().requests().count_attempt(self.outcome);
            call.cancel();
        }
    }
}
