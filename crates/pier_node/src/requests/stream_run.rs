//! The run of a request whose answer is streamed.

use std::{pin, time};

use bytes::Bytes;
use pier_request::{attempts, routing};
use pier_types::{ids, times::clocks};
use tokio::sync::oneshot;

use crate::{callers, requests, telemetry};

/// The event that ends a complete answer.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Time-out for a caller to accept the last event of a failed stream.
const LAST_EVENT_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Runs requests whose answer is streamed.
#[derive(Debug)]
pub(super) struct StreamRun;

/// Why the stream of an attempt ended early.
#[derive(Debug)]
enum StreamStop {
    Fault(requests::AttemptFault),
    CallerLeft,
}

impl StreamRun {
    /// Serves a request; the reply begins with the first token.
    ///
    /// # Errors
    ///
    /// Fails when nothing was relayed and no further attempt is allowed.
    pub(super) async fn serve(
        mut run: requests::RequestRun,
    ) -> Result<callers::CallerReply, callers::ErrorBody> {
        let (reply, answer) = oneshot::channel();
        let serving = tokio::spawn(async move {
            let mut sink = requests::RelaySink::new(reply);
            if let Err(error) = Self::run(&mut run, &mut sink).await {
                sink.fail(error, LAST_EVENT_TIMEOUT).await;
            }
        });
        let abort = requests::AbortGuard::new(serving.abort_handle());
        let answer = answer.await;
        abort.disarm();
        answer.unwrap_or_else(|_lost| Err(requests::internal_fault()))
    }

    /// Relays tokens until the answer is complete, the caller disconnects, or no further attempt is
    /// allowed.
    ///
    /// # Errors
    ///
    /// Returns the error that the caller gets in place of the rest of the answer.
    pub(super) async fn run(
        run: &mut requests::RequestRun,
        sink: &mut requests::RelaySink,
    ) -> Result<(), callers::ErrorBody> {
        let mut buffer = attempts::ReorderBuffer::default();
        loop {
            let permit = run.choose()?;
            let started_at = clocks::boot_now();
            let fault = match Self::attempt(run, &permit, &mut buffer, sink).await {
                Ok(()) => {
                    run.succeed(started_at);
                    return Ok(());
                }
                Err(StreamStop::CallerLeft) => return Ok(()),
                Err(StreamStop::Fault(fault)) => fault,
            };
            buffer.abandon();
            let backoff = run.next_backoff(&fault, &permit, buffer.delivered())?;
            drop(permit);
            tokio::time::sleep(backoff).await;
        }
    }

    async fn attempt(
        run: &requests::RequestRun,
        permit: &routing::RoutePermit,
        buffer: &mut attempts::ReorderBuffer<Bytes>,
        sink: &mut requests::RelaySink,
    ) -> Result<(), StreamStop> {
        let mut span = telemetry::HopSpan::start(run.handle.traces(), "attempt", Some(&run.parent));
        span.set_attribute("target", permit.target().target.to_string());
        let attempt = ids::AttemptId::new(rand::random());
        let call = requests::AttemptCall {
            handle: &run.handle,
            plan: &run.plan,
            target: permit.target(),
            attempt,
            resume_from: buffer.begin(attempt),
        };
        let timing = requests::TokenTiming::new(clocks::boot_now());
        let guard = requests::AttemptGuard::new(call);
        let answer = call.send(&span.parent()).await;
        let relayed = match answer {
            Ok(answer) => relay(&call, answer, timing, buffer, sink).await,
            Err(fault) => Err(StreamStop::Fault(fault)),
        };
        guard.disarm();
        match &relayed {
            Ok(()) => {}
            Err(StreamStop::CallerLeft) => {
                let metrics = run.handle.metrics().requests();
                metrics.count_attempt(telemetry::AttemptOutcome::CallerLeft);
                call.cancel();
            }
            Err(StreamStop::Fault(fault)) => span.fail(fault.end.code()),
        }
        relayed
    }
}

/// Relays the events of one attempt in order; the end mark is sent after all tokens.
async fn relay(
    call: &requests::AttemptCall<'_>,
    answer: reqwest::Response,
    mut timing: requests::TokenTiming,
    buffer: &mut attempts::ReorderBuffer<Bytes>,
    sink: &mut requests::RelaySink,
) -> Result<(), StreamStop> {
    let mut reader = requests::EventReader::new(answer);
    let mut wait_for_broken_group = pin::pin!(call.wait_for_broken_group());
    let mut cause = "the stream ended without its end mark".to_owned();
    loop {
        let remaining = call.plan.deadline.since(clocks::boot_now());
        let next = tokio::select! {
            next = tokio::time::timeout(remaining, reader.next()) => next,
            () = sink.caller_left() => return Err(StreamStop::CallerLeft),
            fault = &mut wait_for_broken_group => return Err(StreamStop::Fault(fault)),
        };
        let Ok(next) = next else {
            call.cancel();
            let end = attempts::AttemptEnd::TimedOut;
            let cause = "the answer was not whole before the deadline";
            return Err(StreamStop::Fault(requests::AttemptFault::new(end, cause)));
        };
        let event = match next {
            Ok(Some(event)) => event,
            Ok(None) => break,
            Err(error) => {
                cause = format!("the stream broke off: {error:#}");
                break;
            }
        };
        match accept_event(call, buffer, event)? {
            EventStatus::Tokens => {
                timing.record_token(call, clocks::boot_now());
                push_ready(call, buffer, sink).await?;
            }
            EventStatus::Nothing => {}
            EventStatus::Done => break,
        }
    }
    if buffer.close(call.attempt) != attempts::StreamEnd::Complete {
        return Err(StreamStop::Fault(broken(&cause)));
    }
    push(call, Bytes::from_static(DONE_EVENT), sink).await
}

/// What an event added to the answer.
enum EventStatus {
    Tokens,
    Nothing,
    Done,
}

fn accept_event(
    call: &requests::AttemptCall<'_>,
    buffer: &mut attempts::ReorderBuffer<Bytes>,
    event: Bytes,
) -> Result<EventStatus, StreamStop> {
    let (index, last) = match requests::TokenEvent::read(&event) {
        requests::TokenEvent::Token { index, last } => (index, last),
        requests::TokenEvent::Done => return Ok(EventStatus::Done),
        requests::TokenEvent::Empty => return Ok(EventStatus::Nothing),
        requests::TokenEvent::Unreadable => {
            call.cancel();
            let end = attempts::AttemptEnd::Broken;
            let cause = "the stream holds an event that is no token";
            return Err(StreamStop::Fault(requests::AttemptFault::new(end, cause)));
        }
    };
    match buffer.accept(call.attempt, index, event, last) {
        attempts::PartStatus::Ready => Ok(EventStatus::Tokens),
        attempts::PartStatus::Refused => {
            call.cancel();
            let end = attempts::AttemptEnd::Broken;
            let cause = format!("token {index} is out of place");
            Err(StreamStop::Fault(requests::AttemptFault::new(end, cause)))
        }
        attempts::PartStatus::Held
        | attempts::PartStatus::Duplicate
        | attempts::PartStatus::Stale => Ok(EventStatus::Nothing),
    }
}

async fn push_ready(
    call: &requests::AttemptCall<'_>,
    buffer: &mut attempts::ReorderBuffer<Bytes>,
    sink: &mut requests::RelaySink,
) -> Result<(), StreamStop> {
    while let Some(event) = buffer.take_ready() {
        let part = [&*event, b"\n\n"].concat();
        push(call, part.into(), sink).await?;
    }
    Ok(())
}

async fn push(
    call: &requests::AttemptCall<'_>,
    part: Bytes,
    sink: &mut requests::RelaySink,
) -> Result<(), StreamStop> {
    let remaining = call.plan.deadline.since(clocks::boot_now());
    match sink.push(part, remaining).await {
        requests::PushResult::Accepted => Ok(()),
        requests::PushResult::CallerLeft => Err(StreamStop::CallerLeft),
        requests::PushResult::TooSlow => {
            call.cancel();
            let end = attempts::AttemptEnd::TimedOut;
            let cause = "the caller did not take the answer before the deadline";
            Err(StreamStop::Fault(requests::AttemptFault::new(end, cause)))
        }
    }
}

fn broken(cause: &str) -> requests::AttemptFault {
    requests::AttemptFault::with_possible_crash(attempts::AttemptEnd::Broken, cause)
}
