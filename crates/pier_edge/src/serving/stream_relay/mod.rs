//! Forwards a stream to the caller and resumes it at another target when its target is lost.

mod stream_resume;

use std::{sync, time};

use http_body_util::BodyExt as _;
use hyper::body::{Bytes, Frame};
use pier_request::attempts;
use pier_types::{ids, times};
use tokio::sync::{mpsc, watch};

use super::request_job::millis;
use crate::{links, serving, state};

/// Greatest size of an event in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// The content type of a stream of events, without parameters.
const EVENT_STREAM_TYPE: &[u8] = b"text/event-stream";

/// Forwards one stream from its target to the caller.
#[derive(Debug)]
pub(super) struct StreamRelay<P> {
    job: sync::Arc<serving::RequestJob<P>>,
    call: serving::TargetCall,
    /// Changes when the target is found stuck.
    stuck: watch::Receiver<u64>,
    parts: mpsc::Sender<serving::StreamPart>,
    tried: Vec<ids::VmName>,
    sends: u32,
    splitter: serving::EventSplitter,
    /// The memory of the splitter's buffer and of what waits for the caller.
    share: serving::AnswerShare,
    pause: attempts::UnreadPause,
    last_event: Option<String>,
    events: u32,
    last_at: times::BootTime,
    longest_gap: time::Duration,
    first_wait: time::Duration,
    expected: Option<time::Duration>,
    resumed: u32,
    /// Bytes after the last whole event, when the target ended the body.
    unfinished: usize,
    /// Whether the request must not be sent again, as its targets crashed.
    is_held: bool,
    _progress: state::ProgressGuard<P>,
}

/// What happened next to a relayed stream.
enum RelayStep {
    Data(bytes::Bytes),
    /// The body ended, and nothing shows that it is incomplete.
    Ended,
    /// The target broke the stream off, which showed in this way.
    Closed(String),
    /// The target broke the stream off, as the caller did not read it.
    Unread(String),
    /// The stream was given up for lack of memory, and the caller's connection ends.
    GivenUp,
    /// The stream exceeds a limit.
    TooLarge(serving::AnswerLimit),
    /// The target is silent, or its group no longer serves; it may be sound and go on.
    Silent,
    /// The target is lost, and no other one has taken the stream on.
    Lost,
    CallerLeft,
    TimeOver,
}

impl<P: links::FleetPlatform> StreamRelay<P> {
    pub(super) fn new(
        job: serving::RequestJob<P>,
        call: serving::TargetCall,
        parts: mpsc::Sender<serving::StreamPart>,
        tried: Vec<ids::VmName>,
        sends: u32,
        progress: state::ProgressGuard<P>,
    ) -> Self {
        Self {
            stuck: call.slot.watch_stuck(),
            last_event: job.head.last_event.clone(),
            last_at: call.sent_at,
            share: job.state.answers().begin_stream(job.answer_owner()),
            pause: attempts::UnreadPause::default(),
            job: sync::Arc::new(job),
            call,
            parts,
            tried,
            sends,
            splitter: serving::EventSplitter::default(),
            events: 0,
            longest_gap: time::Duration::ZERO,
            first_wait: time::Duration::ZERO,
            expected: None,
            resumed: 0,
            unfinished: 0,
            is_held: false,
            _progress: progress,
        }
    }

    /// Sets the expected time from sending the request to the first event.
    pub(super) fn with_expected(mut self, expected: time::Duration) -> Self {
        self.expected = Some(expected);
        self
    }

    /// Forwards events until the stream ends.
    pub(super) async fn run(mut self) {
        let mut next = None;
        let outcome = loop {
            let step = match next.take() {
                Some(step) => step,
                None => self.step().await,
            };
            match step {
                RelayStep::Data(data) => {
                    let started_at = times::clocks::boot_now();
                    let goes_on = self.forward(&data).await;
                    let now = times::clocks::boot_now();
                    self.pause.record_pause(now.since(started_at));
                    if !goes_on {
                        break "caller-left";
                    }
                }
                RelayStep::Ended => {
                    let rest = self.splitter.take_rest();
                    // The request is complete whether or not the caller is still connected.
                    let _caller_left =
                        (rest.is_empty() || self.send(rest).await) && self.end().await;
                    break "complete";
                }
                RelayStep::CallerLeft => break "caller-left",
                RelayStep::GivenUp => break "given-up",
                RelayStep::TimeOver => break "time-over",
                RelayStep::Closed(reason) => {
                    self.record_loss(&reason).await;
                    next = Some(self.continue_elsewhere(true).await);
                }
                RelayStep::Unread(reason) => {
                    self.record_unread(&reason);
                    next = Some(self.continue_elsewhere(true).await);
                }
                RelayStep::TooLarge(limit) => {
                    self.log_loss("the stream exceeds a limit");
                    self.call.connection.close();
                    self.call.guard.release();
                    let reported = self.job.report_too_large(&self.call.slot, limit);
                    self.is_held |= reported.is_err();
                    next = Some(self.continue_elsewhere(true).await);
                }
                RelayStep::Silent => {
                    if self.job.may_leave_silent(&self.call.slot) {
                        next = Some(self.continue_elsewhere(false).await);
                    }
                }
                RelayStep::Lost => break "cut",
            }
        };
        let outcome = if outcome == "caller-left" && self.share.is_ended() {
            "given-up"
        } else {
            outcome
        };
        let now = times::clocks::boot_now();
        let metrics = self.job.state.metrics();
        metrics.count_stream(outcome);
        log::info!(
            event = "stream-ended",
            attempt = self.job.head.attempt.as_str(),
            target_vm:% = self.call.slot.vm,
            outcome = outcome,
            events = self.events,
            resumed = self.resumed,
            framing = self.call.framing.label(),
            unfinished_bytes = self.unfinished,
            first_event_ms = millis(self.first_wait),
            objective_ms = millis(self.job.route.objective),
            longest_gap_ms = millis(self.longest_gap),
            taken_ms = millis(now.since(self.job.arrived_at));
            ""
        );
        if outcome == "complete" {
            self.job.report_completion(&self.call.slot);
            self.call.finish();
        }
    }

    async fn step(&mut self) -> RelayStep {
        let now = times::clocks::boot_now();
        let left = self.job.time_left(now);
        tokio::select! {
            frame = self.call.body.frame() => {
                let waited = times::clocks::boot_now().since(now);
                self.pause.record_wait(waited);
                self.frame_step(frame).await
            }
            () = self.parts.closed() => RelayStep::CallerLeft,
            Ok(()) = self.stuck.changed() => RelayStep::Silent,
            () = tokio::time::sleep(left) => RelayStep::TimeOver,
        }
    }

    /// Returns what a part of the target's body, or its end, means.
    async fn frame_step(&mut self, frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> RelayStep {
        match frame {
            None => self.body_end().await,
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_else(|_trailers| Bytes::new());
                self.accept(data).await
            }
            Some(Err(error)) => self.broken_off(error.to_string()),
        }
    }

    /// Returns bytes of the target's body as data if they keep the limits.
    async fn accept(&mut self, data: bytes::Bytes) -> RelayStep {
        let buffered = self.splitter.len();
        if buffered > MAX_EVENT_BYTES {
            return RelayStep::TooLarge(serving::AnswerLimit::Event);
        }
        match self.share.try_reserve(data.len()) {
            Some(Ok(())) => {}
            Some(Err(_end)) => return RelayStep::GivenUp,
            None => {
                if let Some(step) = self.wait_for_memory(data.len()).await {
                    return step;
                }
            }
        }
        let metrics = self.job.state.metrics();
        metrics.count_received_bytes(self.call.slot.is_local, data.len());
        RelayStep::Data(data)
    }

    /// Waits until there is memory for bytes that were read; returns what happened instead.
    async fn wait_for_memory(&mut self, bytes: usize) -> Option<RelayStep> {
        let asked_at = times::clocks::boot_now();
        let _held_up = self.call.slot.gauge.hold_up();
        tokio::select! {
            reserved = self.share.reserve(bytes) => {
                let now = times::clocks::boot_now();
                self.pause.record_pause(now.since(asked_at));
                reserved.is_err().then_some(RelayStep::GivenUp)
            }
            () = self.parts.closed() => Some(RelayStep::CallerLeft),
            () = tokio::time::sleep(self.job.time_left(asked_at)) => Some(RelayStep::TimeOver),
        }
    }

    /// Returns what the end of the target's body means.
    async fn body_end(&mut self) -> RelayStep {
        self.unfinished = self.splitter.len();
        let content = self.content_end();
        let end = self.call.body_end(&self.job, content, self.pause).await;
        end.fault().map_or(RelayStep::Ended, |reason| {
            self.broken_off(reason.to_owned())
        })
    }

    /// Returns what it means that the target broke the stream off.
    fn broken_off(&self, reason: String) -> RelayStep {
        if self.pause.explains_end() {
            RelayStep::Unread(reason)
        } else {
            RelayStep::Closed(reason)
        }
    }

    fn content_end(&self) -> attempts::ContentEnd {
        if !is_event_stream(&self.call.head) {
            attempts::ContentEnd::Opaque
        } else if self.splitter.is_inside_event() {
            attempts::ContentEnd::InsideEvent
        } else if self.events == 0 && self.last_event.is_none() {
            attempts::ContentEnd::BeforeFirstEvent
        } else {
            attempts::ContentEnd::BetweenEvents
        }
    }

    /// Forwards the events that are complete; returns whether the caller is still connected.
    async fn forward(&mut self, data: &[u8]) -> bool {
        let Some(events) = self.splitter.push(data) else {
            return true;
        };
        let now = times::clocks::boot_now();
        let gauge = &self.call.slot.gauge;
        gauge.record_progress(now);
        if events.count == 0 {
            return self.send(events.bytes).await;
        }
        let gap = now.since(self.last_at);
        if self.events == 0 {
            self.call.guard.mark_started();
            if let Some(expected) = self.expected.take() {
                self.job
                    .record_first_event(&self.call.slot, expected, self.call.sent_at, now);
            }
            self.first_wait = now.since(self.job.arrived_at);
            let metrics = self.job.state.metrics();
            metrics.observe_first_event(self.first_wait);
        } else {
            self.longest_gap = self.longest_gap.max(gap);
            gauge.record_gap(gap / events.count, now);
        }
        self.last_at = now;
        self.events += events.count;
        if events.last_id.is_some() {
            self.last_event = events.last_id;
        }
        self.send(events.bytes).await
    }

    /// Sends bytes to the caller; returns whether it is still connected.
    async fn send(&self, bytes: bytes::Bytes) -> bool {
        let part = serving::StreamPart::Data(self.share.hand_over(bytes));
        match self.parts.try_send(part) {
            Ok(()) => true,
            Err(mpsc::error::TrySendError::Closed(_part)) => false,
            Err(mpsc::error::TrySendError::Full(part)) => {
                let _held_up = self.call.slot.gauge.hold_up();
                self.parts.send(part).await.is_ok()
            }
        }
    }

    /// Ends the caller's body properly; returns whether it is still connected.
    async fn end(&self) -> bool {
        self.parts.send(serving::StreamPart::End).await.is_ok()
    }

    /// Records that the target broke the stream off.
    async fn record_loss(&mut self, reason: &str) {
        self.log_loss(reason);
        self.call.guard.release();
        let reported = self.job.report_closed(&self.call.slot).await;
        self.is_held |= reported.is_err();
    }

    /// Records that the target broke the stream off because it was not read.
    fn record_unread(&mut self, reason: &str) {
        self.log_loss(reason);
        self.call.guard.release();
        let reported = self.job.report_unread(&self.call.slot);
        self.is_held |= reported.is_err();
        self.pause = attempts::UnreadPause::default();
    }

    fn log_loss(&self, reason: &str) {
        let now = times::clocks::boot_now();
        log::info!(
            event = "stream-lost",
            attempt = self.job.head.attempt.as_str(),
            fingerprint:% = self.job.fingerprint,
            target_vm:% = self.call.slot.vm,
            born:% = self.call.slot.born,
            cause = reason,
            framing = self.call.framing.label(),
            events = self.events,
            silent_ms = millis(now.since(self.last_at));
            ""
        );
    }
}

/// Returns whether an answer's body consists of events: unless the head names another type, as it
/// should for the answer to a request for a stream.
fn is_event_stream(head: &http::response::Parts) -> bool {
    let content_type = head.headers.get(http::header::CONTENT_TYPE);
    content_type.is_none_or(|value| value.as_bytes().starts_with(EVENT_STREAM_TYPE))
}
