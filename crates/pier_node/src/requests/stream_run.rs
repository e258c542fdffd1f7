//! The run of a request whose answer is streamed.

use std::time;

use bytes::Bytes;
use futures_util::{Stream, TryStreamExt as _, stream};
use pier_request::attempts;
use pier_types::times::clocks;
use tokio::sync::oneshot;

use crate::{callers, requests, telemetry};

/// The event that ends a complete answer.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Time-out for a caller to accept the last event of a failed stream.
const LAST_EVENT_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Cause of a fault of a stream that ended before it was whole.
const NO_END_CAUSE: &str = "the stream ended without its end mark";

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
            let delivered = buffer.delivered();
            let mut race = requests::AttemptRace::start(run, permit, delivered, parts);
            let fault = match relay(run, &mut race, &mut buffer, sink).await {
                Ok(()) => {
                    run.succeed(race.current().started_at());
                    race.into_current().finish();
                    return Ok(());
                }
                // Dropping the attempts cancels them.
                Err(StreamStop::CallerLeft) => return Ok(()),
                Err(StreamStop::Fault(fault)) => fault,
            };
            buffer.abandon();
            let permit = race.into_current().fail(&fault);
            let backoff = run.next_backoff(&fault, &permit, buffer.delivered())?;
            drop(permit);
            tokio::time::sleep(backoff).await;
        }
    }
}

/// A part of a streamed answer.
#[derive(Debug)]
enum StreamPart {
    /// A token.
    Token {
        event: Bytes,
        index: u64,
        last: bool,
    },
    /// The end of an answer whose last token has arrived.
    End,
}

/// Sends a request and returns the parts of its answer.
fn parts(
    call: requests::AttemptCall,
    parent: telemetry::TraceParent,
) -> impl Stream<Item = Result<StreamPart, requests::AttemptFault>> {
    let sending = async move {
        let answer = call.send(&parent).await?;
        Ok(following_parts(call, requests::EventReader::new(answer)))
    };
    stream::once(sending).try_flatten()
}

fn following_parts(
    call: requests::AttemptCall,
    reader: requests::EventReader,
) -> impl Stream<Item = Result<StreamPart, requests::AttemptFault>> {
    let state = (call, reader, false);
    stream::try_unfold(state, |(call, mut reader, has_last)| async move {
        let part = match next_event(&call, &mut reader).await? {
            AnswerEvent::Token { event, index, last } => StreamPart::Token { event, index, last },
            AnswerEvent::End(_cause) if has_last => StreamPart::End,
            AnswerEvent::End(cause) => return Err(requests::AttemptFault::broken(cause)),
        };
        let has_last = has_last || matches!(part, StreamPart::Token { last: true, .. });
        Ok(Some((part, (call, reader, has_last))))
    })
}

/// An event of a target's answer.
enum AnswerEvent {
    Token {
        event: Bytes,
        index: u64,
        last: bool,
    },
    /// The end mark, or the end of the connection with its cause.
    End(String),
}

async fn next_event(
    call: &requests::AttemptCall,
    reader: &mut requests::EventReader,
) -> Result<AnswerEvent, requests::AttemptFault> {
    loop {
        let remaining = call.plan.deadline.since(clocks::boot_now());
        let Ok(next) = tokio::time::timeout(remaining, reader.next()).await else {
            call.cancel();
            let end = attempts::AttemptEnd::TimedOut;
            let cause = "the answer was not whole before the deadline";
            return Err(requests::AttemptFault::new(end, cause));
        };
        let event = match next {
            Ok(Some(event)) => event,
            Ok(None) => return Ok(AnswerEvent::End(NO_END_CAUSE.to_owned())),
            Err(error) => {
                return Ok(AnswerEvent::End(format!("the stream broke off: {error:#}")));
            }
        };
        match requests::TokenEvent::read(&event) {
            requests::TokenEvent::Token { index, last } => {
                return Ok(AnswerEvent::Token { event, index, last });
            }
            requests::TokenEvent::Done => return Ok(AnswerEvent::End(NO_END_CAUSE.to_owned())),
            requests::TokenEvent::Empty => {}
            requests::TokenEvent::Unreadable => {
                call.cancel();
                let end = attempts::AttemptEnd::Broken;
                let cause = "the stream holds an event that is no token";
                return Err(requests::AttemptFault::new(end, cause));
            }
        }
    }
}

/// Relays the events of the attempts in order; the end mark is sent after all tokens.
async fn relay<F, S>(
    run: &mut requests::RequestRun,
    race: &mut requests::AttemptRace<F, S>,
    buffer: &mut attempts::ReorderBuffer<Bytes>,
    sink: &mut requests::RelaySink,
) -> Result<(), StreamStop>
where
    F: Fn(requests::AttemptCall, telemetry::TraceParent) -> S,
    S: Stream<Item = Result<StreamPart, requests::AttemptFault>>,
{
    let mut attempt = race.current().call().attempt;
    buffer.begin(attempt);
    let mut timing = requests::TokenTiming::new(race.current().started_at());
    loop {
        let part = tokio::select! {
            part = race.next(run, buffer.delivered()) => part.map_err(StreamStop::Fault)?,
            () = sink.caller_left() => return Err(StreamStop::CallerLeft),
        };
        let current = race.current();
        let call = current.call();
        if attempt != call.attempt {
            attempt = call.attempt;
            buffer.begin(attempt);
            timing = requests::TokenTiming::new(current.started_at());
        }
        let StreamPart::Token { event, index, last } = part else {
            if buffer.close(attempt) == attempts::StreamEnd::Complete {
                return push(call, Bytes::from_static(DONE_EVENT), sink).await;
            }
            return Err(StreamStop::Fault(requests::AttemptFault::broken(
                NO_END_CAUSE,
            )));
        };
        match buffer.accept(attempt, index, event, last) {
            attempts::PartStatus::Ready => {
                timing.record_token(call, clocks::boot_now());
                push_ready(call, buffer, sink).await?;
            }
            attempts::PartStatus::Refused => {
                call.cancel();
                let end = attempts::AttemptEnd::Broken;
                let cause = format!("token {index} is out of place");
                return Err(StreamStop::Fault(requests::AttemptFault::new(end, cause)));
            }
            attempts::PartStatus::Held
            | attempts::PartStatus::Duplicate
            | attempts::PartStatus::Stale => {}
        }
    }
}

async fn push_ready(
    call: &requests::AttemptCall,
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
    call: &requests::AttemptCall,
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
