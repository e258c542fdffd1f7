//! An attempt that has not ended.

use std::pin;

use futures_util::{Stream, StreamExt as _};
use pier_request::routing;
use pier_types::{ids, sizes, times, times::clocks};

use crate::{requests, telemetry};

/// An attempt in progress; dropping it cancels it at its target.
#[derive(Debug)]
pub(super) struct OpenAttempt<S> {
    call: requests::AttemptCall,
    permit: routing::RoutePermit,
    guard: requests::AttemptGuard,
    span: telemetry::HopSpan,
    started_at: times::BootTime,
    parts: pin::Pin<Box<S>>,
}

impl<T, S> OpenAttempt<S>
where
    S: Stream<Item = Result<T, requests::AttemptFault>>,
{
    /// Starts an attempt; `send` returns the parts of its answer.
    pub(super) fn start(
        run: &requests::RequestRun,
        permit: routing::RoutePermit,
        resume_from: sizes::TokenCount,
        send: impl FnOnce(requests::AttemptCall, telemetry::TraceParent) -> S,
    ) -> Self {
        let mut span = telemetry::HopSpan::start(run.handle.traces(), "attempt", Some(&run.parent));
        span.set_attribute("target", permit.target().target.to_string());
        let call = run.call(&permit, ids::AttemptId::new(rand::random()), resume_from);
        Self {
            guard: requests::AttemptGuard::new(call.clone()),
            parts: Box::pin(send(call.clone(), span.parent())),
            started_at: clocks::boot_now(),
            call,
            permit,
            span,
        }
    }

    /// Returns the call.
    pub(super) const fn call(&self) -> &requests::AttemptCall {
        &self.call
    }

    /// Returns when it was started.
    pub(super) const fn started_at(&self) -> times::BootTime {
        self.started_at
    }

    /// Waits for the next part of the answer; cancel safe.
    ///
    /// # Errors
    ///
    /// Fails when the attempt ends without a complete answer.
    pub(super) async fn next(&mut self) -> Result<T, requests::AttemptFault> {
        let part = self.parts.next().await;
        part.unwrap_or_else(|| {
            let cause = "the answer has no further part";
            Err(requests::AttemptFault::broken(cause))
        })
    }

    /// Ends an attempt whose answer is complete.
    pub(super) fn finish(self) {
        self.guard.disarm();
    }

    /// Ends a failed attempt and returns its permit.
    pub(super) fn fail(mut self, fault: &requests::AttemptFault) -> routing::RoutePermit {
        self.span.fail(fault.end.code());
        self.guard.disarm();
        self.permit
    }

    /// Cancels an attempt because another target answered first.
    pub(super) fn cancel_outrun(self) {
        self.guard.cancel_outrun();
    }
}
