//! Continues a stream at another target.

use std::{sync, time};

use http_body_util::BodyExt as _;
use hyper::body::{Bytes, Frame};
use pier_types::times;

use super::{RelayStep, is_event_stream};
use crate::{links, serving, state};

/// How long resuming a stream may take once its target is lost: callers give up after two seconds
/// without an event.
const RESUME_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// A part of a target's body, or its end.
type BodyFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

/// A send of the rest of a stream that has brought a part of the answer, or failed.
struct EndedSend {
    slot: sync::Arc<state::TargetSlot>,
    result: Result<(Box<serving::TargetCall>, BodyFrame), ResumeFault>,
}

/// Why a target did not take a stream on.
enum ResumeFault {
    /// The target answered with something other than the stream.
    Refused(http::StatusCode),
    /// The send brought no answer.
    NoAnswer(serving::SendFault),
    /// The target broke the body off before its first part.
    Closed(String),
}

/// What happened next while other targets are asked to continue a stream.
enum RaceEvent {
    /// The current target spoke, or ended its body.
    Current(BodyFrame),
    Other(serving::SendEvent<EndedSend>),
    CallerLeft,
    TimeOver,
}

impl<P: links::FleetPlatform> serving::StreamRelay<P> {
    /// Asks other targets for the rest of the stream, and continues with the one that speaks first;
    /// that may be the current one, unless `is_lost`. Returns the next step.
    pub(super) async fn continue_elsewhere(&mut self, mut is_lost: bool) -> RelayStep {
        self.job.state.metrics().count_resume("tried");
        let job = sync::Arc::clone(&self.job);
        let after = self.last_event.clone();
        let has_events = is_event_stream(&self.call.head);
        let mut open = serving::OpenSends::default();
        let mut permit = SendPermit::None;
        let mut lost_at = times::clocks::boot_now();
        loop {
            let now = times::clocks::boot_now();
            let may_search = !is_lost || now.since(lost_at) < RESUME_TIMEOUT;
            if open.is_searching() {
                let chosen = if may_search {
                    self.next_target(&open, is_lost, &mut permit, now)
                } else {
                    None
                };
                match chosen {
                    Some(slot) => {
                        permit = SendPermit::None;
                        self.sends += 1;
                        self.tried.push(slot.vm.clone());
                        let left = job.time_left(now);
                        let after = after.as_deref();
                        let sending = send(&job, sync::Arc::clone(&slot), after, has_events, left);
                        open.push(&slot, left, sending);
                    }
                    None if !may_search || !self.may_send() => open.end_search(),
                    None => {}
                }
            }
            if is_lost && open.is_empty() && !open.is_searching() {
                return RelayStep::Lost;
            }
            let event = tokio::select! {
                frame = self.call.body.frame(), if !is_lost => RaceEvent::Current(frame),
                event = open.next() => RaceEvent::Other(event),
                () = self.parts.closed() => RaceEvent::CallerLeft,
                () = tokio::time::sleep(job.time_left(now)) => RaceEvent::TimeOver,
            };
            match event {
                RaceEvent::CallerLeft => return RelayStep::CallerLeft,
                RaceEvent::TimeOver => return RelayStep::TimeOver,
                RaceEvent::Current(frame) => match self.frame_step(frame).await {
                    RelayStep::Closed(reason) => {
                        self.record_loss(&reason).await;
                        is_lost = true;
                        lost_at = times::clocks::boot_now();
                        if open.is_empty() {
                            open.start_search();
                        }
                    }
                    RelayStep::Unread(reason) => {
                        self.record_unread(&reason);
                        is_lost = true;
                        lost_at = times::clocks::boot_now();
                        if open.is_empty() {
                            open.start_search();
                        }
                    }
                    step => return step,
                },
                RaceEvent::Other(serving::SendEvent::Search) => {}
                RaceEvent::Other(serving::SendEvent::Silent(slot)) => {
                    if job.may_leave_silent(&slot) {
                        open.start_search();
                    } else {
                        open.end_search();
                    }
                }
                RaceEvent::Other(serving::SendEvent::Ended(ended)) => match ended.result {
                    Ok((call, frame)) => {
                        self.adopt(*call);
                        return self.frame_step(frame).await;
                    }
                    Err(fault) => {
                        open.replace(&ended.slot);
                        if self.record_failure(&ended.slot, &fault).await {
                            permit = SendPermit::Unused;
                        }
                    }
                },
            }
        }
    }

    fn may_send(&self) -> bool {
        let is_allowed = self.job.route.repeat.may_repeat() && !self.is_held;
        is_allowed && self.sends < self.job.max_sends()
    }

    /// Chooses the next target and takes the send from the retry budget; `None` if neither is
    /// possible now.
    fn next_target<F: Future>(
        &mut self,
        open: &serving::OpenSends<F>,
        is_lost: bool,
        permit: &mut SendPermit,
        now: times::BootTime,
    ) -> Option<sync::Arc<state::TargetSlot>> {
        if !self.may_send() || self.job.time_left(now).is_zero() {
            return None;
        }
        let slot = match self.job.choose(&self.tried, true, now) {
            serving::TargetChoice::Send { slot, .. } => slot,
            serving::TargetChoice::Refuse(_) => {
                // A group that was formed again may be served by the same VM.
                let current = (!is_lost).then_some(&self.call.slot.vm);
                self.tried
                    .retain(|vm| Some(vm) == current || open.is_open_at(vm));
                return None;
            }
        };
        let state = &self.job.state;
        let nodes = state.with_peers(|peers| peers.sharing_nodes(now));
        let is_allowed =
            *permit == SendPermit::Unused || state.retries().take(&self.job.service, nodes, now);
        if !is_allowed && *permit == SendPermit::None {
            log::info!(
                event = "retry-budget-empty",
                attempt = self.job.head.attempt.as_str();
                ""
            );
            *permit = SendPermit::Refused;
        }
        if !is_allowed {
            slot.give_limit_back(now);
        }
        is_allowed.then_some(slot)
    }

    /// Records a send that brought nothing; returns whether nothing was sent.
    async fn record_failure(
        &mut self,
        slot: &sync::Arc<state::TargetSlot>,
        fault: &ResumeFault,
    ) -> bool {
        let (reason, reported, is_unsent) = match fault {
            ResumeFault::Refused(status) => (format!("status {status}"), Ok(()), false),
            ResumeFault::NoAnswer(fault) => {
                let reported = self.job.report_fault(slot, fault).await;
                // Another node may take the stream on after one refused it.
                let is_refused = matches!(fault, serving::SendFault::Refused(_));
                let reported = if is_refused { Ok(()) } else { reported };
                (format!("{fault:?}"), reported, !fault.may_have_run())
            }
            ResumeFault::Closed(reason) => {
                (reason.clone(), self.job.report_closed(slot).await, false)
            }
        };
        log::info!(
            event = "resume-failed",
            attempt = self.job.head.attempt.as_str(),
            fingerprint:% = self.job.fingerprint,
            target_vm:% = slot.vm,
            born:% = slot.born,
            fault = reason.as_str();
            ""
        );
        self.is_held |= reported.is_err();
        self.sends -= u32::from(is_unsent);
        is_unsent
    }

    /// Continues the stream with another target's answer.
    fn adopt(&mut self, call: serving::TargetCall) {
        log::info!(
            event = "stream-resumed",
            attempt = self.job.head.attempt.as_str(),
            target_vm:% = call.slot.vm,
            after = self.last_event.as_deref().unwrap_or("");
            ""
        );
        self.job.state.metrics().count_resume("done");
        self.resumed += 1;
        let rest = self.splitter.take_rest();
        self.share.discard(rest.len());
        self.stuck = call.slot.watch_stuck();
        self.call = call;
        if self.events > 0 {
            self.call.guard.mark_started();
        }
    }
}

/// Whether the next send has been taken from the retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SendPermit {
    None,
    /// The budget was empty, which was logged.
    Refused,
    /// The send was taken, but nothing was sent.
    Unused,
}

/// Returns whether an answer is the rest of a stream, instead of an error or of a success that says
/// something else.
fn is_rest(call: &serving::TargetCall, has_events: bool) -> bool {
    call.head.status == http::StatusCode::OK
        && call.answer.is_genuine()
        && !call.answer.is_not_run
        && (!has_events || is_event_stream(&call.head))
}

/// Sends the request for the rest of a stream, and waits for the first part of the body. `has_events`
/// is whether the stream so far consists of events.
async fn send<P: links::FleetPlatform>(
    job: &serving::RequestJob<P>,
    slot: sync::Arc<state::TargetSlot>,
    after: Option<&str>,
    has_events: bool,
    limit: time::Duration,
) -> EndedSend {
    let result = match serving::TargetCall::send(job, &slot, after, limit).await {
        Ok(mut call) if is_rest(&call, has_events) => match call.body.frame().await {
            Some(Err(error)) => Err(ResumeFault::Closed(error.to_string())),
            frame => Ok((Box::new(call), frame)),
        },
        Ok(call) => Err(ResumeFault::Refused(call.head.status)),
        Err(fault) => Err(ResumeFault::NoAnswer(fault)),
    };
    EndedSend { slot, result }
}
