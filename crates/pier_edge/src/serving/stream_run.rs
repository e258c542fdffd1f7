//! Runs requests that are answered with a stream of events.

use std::{sync, time};

use pier_request::attempts;
use pier_types::{ids, times};
use tokio::sync::mpsc;

use super::buffered_run;
use super::request_job::millis;
use crate::{links, serving, state};

/// Chunks of a stream that are buffered for a slow caller.
const STREAM_BUFFER_CHUNKS: usize = 2;

/// Time before the deadline that is reserved for this node's own answer.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(30);

/// Unreachable targets after which a request is given up; they do not count as sends.
const MAX_UNREACHED_TARGETS: u32 = 3;

/// How long a target gets no new requests after a connection to it failed.
const UNREACHED_REST: time::Duration = time::Duration::from_millis(500);

/// When a caller whose request failed may retry: about the time that repairing a group takes.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(200);

/// The beginning of the answer to a request for a stream.
#[derive(Debug)]
pub(super) enum StreamStart {
    /// The stream has begun.
    Stream(http::response::Parts, mpsc::Receiver<serving::StreamPart>),
    /// The target answered with something other than a stream.
    Whole(http::response::Parts, serving::WholeAnswer),
}

/// A send that has ended or begun to be answered.
#[derive(Debug)]
struct EndedSend {
    slot: sync::Arc<state::TargetSlot>,
    expected: time::Duration,
    result: Result<AnswerStart, serving::SendFault>,
}

/// The beginning of a target's answer.
#[derive(Debug)]
enum AnswerStart {
    Stream(Box<serving::TargetCall>),
    Whole(http::response::Parts, serving::WholeAnswer),
    /// The target states that it has not run the request.
    NotRun(Box<serving::TargetCall>),
}

/// Sends a request to one target after another until a stream begins.
pub(super) async fn run<P: links::FleetPlatform>(
    job: serving::RequestJob<P>,
    progress: state::ProgressGuard<P>,
) -> Result<StreamStart, serving::Refusal> {
    let mut sends = StreamSends::default();
    let mut open = serving::OpenSends::default();
    loop {
        let now = times::clocks::boot_now();
        if open.needs_target() {
            match sends.next_target(&job, open.vms(), open.count(), now) {
                Ok((slot, expected)) => {
                    log_send(&job, &slot, expected);
                    let limit = job.time_left(now).saturating_sub(ANSWER_MARGIN);
                    let sending = send(&job, sync::Arc::clone(&slot), expected, limit);
                    open.push(&slot, limit, sending);
                }
                Err(refusal) if open.is_empty() => return sends.give_up(&job, refusal),
                // The retry budget or a target may have room a moment later.
                Err(_) if sends.count + open.count() < job.max_sends() => open.start_search(),
                Err(_) => open.end_search(),
            }
        }
        let ended = match open.next().await {
            serving::SendEvent::Ended(ended) => ended,
            serving::SendEvent::Search => continue,
            serving::SendEvent::Silent(slot) => {
                if job.may_leave_silent(&slot) {
                    open.start_search();
                } else {
                    open.end_search();
                }
                continue;
            }
        };
        open.replace(&ended.slot);
        match ended.result {
            Ok(AnswerStart::Stream(call)) => {
                let tried = open.vms().to_vec();
                let count = sends.count + open.count() + 1;
                // Closes the connections to the other targets.
                drop(open);
                let (sender, receiver) = mpsc::channel(STREAM_BUFFER_CHUNKS);
                let head = call.head.clone();
                let mut relay =
                    serving::StreamRelay::new(job, *call, sender, tried, count, progress);
                if !ended.slot.is_node() {
                    relay = relay.with_expected(ended.expected);
                }
                tokio::spawn(relay.run());
                return Ok(StreamStart::Stream(head, receiver));
            }
            Ok(AnswerStart::Whole(head, body)) => {
                if open.is_empty() || !head.status.is_server_error() {
                    return Ok(StreamStart::Whole(head, body));
                }
                sends.count += 1;
                sends.answer = Some((head, body));
            }
            Ok(AnswerStart::NotRun(call)) => sends.record_refusal(&job, &call),
            Err(fault) => {
                let reported = job.report_fault(&ended.slot, &fault).await;
                sends.record_fault(&job, &ended.slot, &fault)?;
                sends.held = reported.err();
            }
        }
    }
}

async fn send<P: links::FleetPlatform>(
    job: &serving::RequestJob<P>,
    slot: sync::Arc<state::TargetSlot>,
    expected: time::Duration,
    limit: time::Duration,
) -> EndedSend {
    let result = match serving::TargetCall::send(job, &slot, None, limit).await {
        Ok(call) if call.answer.is_not_run => Ok(AnswerStart::NotRun(Box::new(call))),
        Ok(call) if !call.answer.is_genuine() => {
            let reason = "the answer lacks the target's mark for this attempt".to_owned();
            Err(serving::SendFault::MayHaveRun(reason))
        }
        Ok(call) if call.head.status.is_success() => Ok(AnswerStart::Stream(Box::new(call))),
        Ok(call) => read_whole_answer(job, call).await,
        Err(fault) => Err(fault),
    };
    EndedSend {
        slot,
        expected,
        result,
    }
}

/// Reads an answer that is not a stream.
async fn read_whole_answer<P: links::FleetPlatform>(
    job: &serving::RequestJob<P>,
    mut call: serving::TargetCall,
) -> Result<AnswerStart, serving::SendFault> {
    let left = job.time_left(times::clocks::boot_now());
    let room = job.state.answers();
    let reading = serving::WholeAnswer::read(&mut call.body, room, job.answer_owner());
    let body = tokio::time::timeout(left, reading).await;
    let (body, pause) = body.unwrap_or(Err(serving::SendFault::TimedOut))?;
    let end = call
        .body_end(job, attempts::ContentEnd::Opaque, pause)
        .await;
    if let Some(reason) = end.fault() {
        return Err(serving::SendFault::of_end(reason, pause));
    }
    let head = call.head.clone();
    call.finish();
    Ok(AnswerStart::Whole(head, body))
}

fn log_send<P: links::FleetPlatform>(
    job: &serving::RequestJob<P>,
    slot: &state::TargetSlot,
    expected: time::Duration,
) {
    if slot.is_node() {
        return;
    }
    let now = times::clocks::boot_now();
    let load_age = job.state.with_loads(|loads| loads.follower.age(now));
    log::info!(
        event = "request-sent",
        attempt = job.head.attempt.as_str(),
        target_vm:% = slot.vm,
        generation:% = slot.generation,
        expected_ms = millis(expected),
        store_age_ms = millis(job.state.knowledge_age(now)),
        learned_ms = millis(job.mean_delay()),
        prompt_tokens = job.head.prompt_tokens,
        running = slot.gauge.running(),
        waiting = slot.gauge.waiting(),
        waiting_tokens = slot.gauge.waiting_prompt(),
        load_age_ms:? = load_age.map(millis);
        ""
    );
}

/// The outcome of the sends so far.
#[derive(Debug, Default)]
struct StreamSends {
    /// Ended sends that a target read or may have read.
    count: u32,
    unreached: u32,
    /// Nodes that did not take the request over.
    unreached_nodes: u32,
    may_have_run: bool,
    /// Why the request must not be sent again.
    held: Option<serving::Refusal>,
    /// A target's error answer, forwarded when no better answer comes.
    answer: Option<buffered_run::BufferedAnswer>,
}

impl StreamSends {
    /// Chooses the target of the next send beside `open` sends without an answer.
    ///
    /// # Errors
    ///
    /// Fails with the reason when no further send is possible now, or allowed at all.
    fn next_target<P: links::FleetPlatform>(
        &self,
        job: &serving::RequestJob<P>,
        tried: &[ids::VmName],
        open: u32,
        now: times::BootTime,
    ) -> Result<(sync::Arc<state::TargetSlot>, time::Duration), serving::Refusal> {
        if job.time_left(now) <= ANSWER_MARGIN {
            return Err(serving::Refusal::TimedOut);
        }
        if let Some(held) = &self.held {
            return Err(held.clone());
        }
        // Targets that were not reached before the node knew that it is cut off do not count.
        let counts_targets = !job.may_pass_on(now);
        if self.unreached_nodes >= MAX_UNREACHED_TARGETS
            || (counts_targets && self.unreached >= MAX_UNREACHED_TARGETS)
        {
            return Err(serving::Refusal::Broken);
        }
        // A request whose target was lost has missed its objective; a late answer is still better
        // than none, so it is chosen like a resumed stream.
        let is_late = self.may_have_run || open > 0;
        let chosen = match job.choose(tried, is_late, now) {
            serving::TargetChoice::Send { slot, expected } => (slot, expected),
            serving::TargetChoice::Refuse(refusal) => return Err(refusal),
        };
        let sends = self.count + open;
        if sends > 0 {
            let nodes = job.state.with_peers(|peers| peers.sharing_nodes(now));
            let has_budget = || job.state.retries().take(&job.service, nodes, now);
            if sends >= job.max_sends() || !has_budget() {
                chosen.0.give_limit_back(now);
                return Err(serving::Refusal::Broken);
            }
        }
        Ok(chosen)
    }

    fn record_refusal<P: links::FleetPlatform>(
        &mut self,
        job: &serving::RequestJob<P>,
        call: &serving::TargetCall,
    ) {
        let taken = times::clocks::boot_now().since(call.sent_at);
        call.slot.gauge.record_answer(taken, true);
        self.count += 1;
        log::info!(
            event = "target-refused",
            attempt = job.head.attempt.as_str(),
            target_vm:% = call.slot.vm,
            status = call.head.status.as_u16();
            ""
        );
    }

    /// Records a send that brought no answer; fails when the request must not be sent again.
    fn record_fault<P: links::FleetPlatform>(
        &mut self,
        job: &serving::RequestJob<P>,
        slot: &state::TargetSlot,
        fault: &serving::SendFault,
    ) -> Result<(), serving::Refusal> {
        log::info!(
            event = "send-failed",
            attempt = job.head.attempt.as_str(),
            fingerprint:% = job.fingerprint,
            target_vm:% = slot.vm,
            born:% = slot.born,
            fault:? = fault;
            ""
        );
        if let serving::SendFault::Unreached(_) = fault {
            slot.gauge
                .set_unreached(times::clocks::boot_now().after(UNREACHED_REST));
        }
        if fault.may_have_run() {
            self.may_have_run = true;
            self.count += 1;
            if !job.route.repeat.may_repeat() {
                return Err(serving::Refusal::Broken);
            }
            return Ok(());
        }
        if slot.is_node() {
            self.unreached_nodes += 1;
        } else {
            self.unreached += 1;
        }
        Ok(())
    }

    /// Ends the request with a target's error answer, or else with a refusal.
    fn give_up<P>(
        &mut self,
        job: &serving::RequestJob<P>,
        refusal: serving::Refusal,
    ) -> Result<StreamStart, serving::Refusal> {
        match self.answer.take() {
            Some((head, body)) => Ok(StreamStart::Whole(head, body)),
            None => Err(self.final_refusal(job, refusal)),
        }
    }

    /// Returns the refusal for a request that is given up: one that may have run is never reported
    /// as not run, and the other way round.
    fn final_refusal<P>(
        &self,
        job: &serving::RequestJob<P>,
        refusal: serving::Refusal,
    ) -> serving::Refusal {
        if self.may_have_run {
            return match refusal {
                serving::Refusal::TimedOut => serving::Refusal::TimedOut,
                serving::Refusal::HeldBack { retry_after } if job.route.repeat.may_repeat() => {
                    serving::Refusal::Lost { retry_after }
                }
                _ if job.route.repeat.may_repeat() => serving::Refusal::Lost {
                    retry_after: RETRY_AFTER,
                },
                _ => serving::Refusal::Broken,
            };
        }
        // The node that passed the request on counts the target that refused it.
        let was_refused = self.count > 0 && job.forward.is_some();
        match refusal {
            serving::Refusal::Broken | serving::Refusal::TimedOut => serving::Refusal::NotRun {
                retry_after: RETRY_AFTER,
            },
            serving::Refusal::NoTarget { retry_after } if was_refused => {
                serving::Refusal::NotRun { retry_after }
            }
            other => other,
        }
    }
}
