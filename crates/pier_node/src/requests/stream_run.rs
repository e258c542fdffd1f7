//! The run of a request whose answer is streamed.

use std::{pin, time};

use bytes::Bytes;
use pier_request::{attempts, routing};
use pier_types::{ids, times::clocks};
use tokio::sync::oneshot;

use crate::{callers, requests, telemetry};

/// The event that ends a whole answer.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Time that a caller gets to take the last event of a failed stream.
const LAST_EVENT_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Runs requests whose answer is streamed.
#[derive(Debug)]
pub(super) struct StreamRun;

/// Why an attempt's stream ended early.
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
    /// Fails when nothing was relayed and nothing more may be tried.
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

    /// Relays tokens until the answer is whole, the caller left, or nothing more may be tried.
    ///
    /// # Errors
    ///
    /// Fails with what the caller is told in place of the rest.
    pub(super) async fn run(
        run: &mut requests::RequestRun,
        sink: &mut requests::RelaySink,
    ) -> Result<(), callers::ErrorBody> {
        let mut tracker = attempts::ReorderBuffer::default();
        loop {
            let permit = run.choose()?;
            let started_at = clocks::boot_now();
            let fault = match Self::attempt(run, &permit, &mut tracker, sink).await {
                Ok(()) => {
                    run.succeed(started_at);
                    return Ok(());
                }
                Err(StreamStop::CallerLeft) => return Ok(()),
                Err(StreamStop::Fault(fault)) => fault,
            };
            tracker.abandon();
            let pause = run.after(&fault, &permit, tracker.delivered())?;
            drop(permit);
            tokio::time::sleep(pause).await;
        }
    }

    async fn attempt(
        run: &requests::RequestRun,
        permit: &routing::RoutePermit,
        tracker: &mut attempts::ReorderBuffer<Bytes>,
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
            resume_from: tracker.begin(attempt),
        };
        let pace = requests::TokenPace::new(clocks::boot_now());
        let guard = requests::AttemptGuard::new(call);
        let answer = call.send(&span.parent()).await;
        let relayed = match answer {
            Ok(answer) => relay(&call, answer, pace, tracker, sink).await,
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

/// Relays the events of one attempt in order; the end mark goes out once all tokens did.
async fn relay(
    call: &requests::AttemptCall<'_>,
    answer: reqwest::Response,
    mut pace: requests::TokenPace,
    tracker: &mut attempts::ReorderBuffer<Bytes>,
    sink: &mut requests::RelaySink,
) -> Result<(), StreamStop> {
    let mut reader = requests::EventReader::new(answer);
    let mut group_broken = pin::pin!(call.group_broken());
    let mut cause = "the stream ended without its end mark".to_owned();
    loop {
        let remaining = call.plan.deadline.since(clocks::boot_now());
        let next = tokio::select! {
            next = tokio::time::timeout(remaining, reader.next()) => next,
            () = sink.left() => return Err(StreamStop::CallerLeft),
            fault = &mut group_broken => return Err(StreamStop::Fault(fault)),
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
        match take(call, tracker, event)? {
            TakenEvent::Tokens => {
                pace.take(call, clocks::boot_now());
                push_ready(call, tracker, sink).await?;
            }
            TakenEvent::Nothing => {}
            TakenEvent::Done => break,
        }
    }
    if tracker.close(call.attempt) != attempts::StreamEnd::Complete {
        return Err(StreamStop::Fault(broken(&cause)));
    }
    push(call, Bytes::from_static(DONE_EVENT), sink).await
}

/// What an event brought.
enum TakenEvent {
    Tokens,
    Nothing,
    Done,
}

fn take(
    call: &requests::AttemptCall<'_>,
    tracker: &mut attempts::ReorderBuffer<Bytes>,
    event: Bytes,
) -> Result<TakenEvent, StreamStop> {
    let (index, last) = match requests::TokenEvent::read(&event) {
        requests::TokenEvent::Token { index, last } => (index, last),
        requests::TokenEvent::Done => return Ok(TakenEvent::Done),
        requests::TokenEvent::Empty => return Ok(TakenEvent::Nothing),
        requests::TokenEvent::Unreadable => {
            call.cancel();
            let end = attempts::AttemptEnd::Broken;
            let cause = "the stream holds an event that is no token";
            return Err(StreamStop::Fault(requests::AttemptFault::new(end, cause)));
        }
    };
    match tracker.accept(call.attempt, index, event, last) {
        attempts::PartStatus::Ready => Ok(TakenEvent::Tokens),
        attempts::PartStatus::Refused => {
            call.cancel();
            let end = attempts::AttemptEnd::Broken;
            let cause = format!("token {index} is out of place");
            Err(StreamStop::Fault(requests::AttemptFault::new(end, cause)))
        }
        attempts::PartStatus::Held
        | attempts::PartStatus::Duplicate
        | attempts::PartStatus::Stale => Ok(TakenEvent::Nothing),
    }
}

async fn push_ready(
    call: &requests::AttemptCall<'_>,
    tracker: &mut attempts::ReorderBuffer<Bytes>,
    sink: &mut requests::RelaySink,
) -> Result<(), StreamStop> {
    while let Some(event) = tracker.take_ready() {
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
        requests::PushResult::Taken => Ok(()),
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
    requests::AttemptFault::crashed(attempts::AttemptEnd::Broken, cause)
}
