//! Cancels an attempt whose caller has disconnected.

use crate::{requests, telemetry};

/// Cancels an attempt at its target when dropped, unless it has ended.
#[derive(Debug)]
pub(super) struct AttemptGuard<'a> {
    call: Option<requests::AttemptCall<'a>>,
}

impl<'a> AttemptGuard<'a> {
    /// Guards an attempt that is about to be sent.
    pub(super) const fn new(call: requests::AttemptCall<'a>) -> Self {
        Self { call: Some(call) }
    }

    /// Drops the guard of an attempt that has ended.
    pub(super) fn disarm(mut self) {
        self.call = None;
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if let Some(call) = &self.call {
            let metrics = call.handle.metrics().requests();
            metrics.count_attempt(telemetry::AttemptOutcome::CallerLeft);
            call.cancel();
        }
    }
}
