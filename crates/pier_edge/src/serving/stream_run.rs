//! Runs requests that are answered with a stream of events.

use std::time;

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
    Whole(http::response::Parts, bytes::Bytes),
}

/// Sends a request to one target after another until a stream begins.
pub(super) async fn run<P: links::FleetPlatform>(
    job: serving::RequestJob<P>,
    progress: state::ProgressGuard<P>,
) -> Result<StreamStart, serving::Refusal> {
    let mut sends = StreamSends::default();
    loop {
        let now = times::clocks::boot_now();
        if job.time_left(now) <= ANSWER_MARGIN {
            return Err(sends.final_refusal(&job, serving::Refusal::TimedOut));
        }
        // A request whose target was lost has missed its objective; a late answer is still better
        // than none, so it is chosen like a resumed stream.
        let (slot, expected) = match job.choose(&sends.tried, sends.may_have_run, now) {
            serving::TargetChoice::Send { slot, expected } => (slot, expected),
            serving::TargetChoice::Refuse(refusal) => {
                return Err(sends.final_refusal(&job, refusal));
            }
        };
        if !sends.may_send_again(&job, now) {
            return Err(sends.final_refusal(&job, serving::Refusal::Broken));
        }
        log_send(&job, &slot, expected);
        sends.tried.push(slot.vm.clone());
        let limit = job.time_left(now).saturating_sub(ANSWER_MARGIN);
        let fault = match serving::TargetCall::send(&job, &slot, None, limit).await {
            Ok(call) if call.answer.is_not_run => {
                sends.record_refusal(&job, &call);
                continue;
            }
            Ok(call) if !call.answer.is_genuine => {
                let reason = "the answer lacks the target's mark for this attempt".to_owned();
                serving::SendFault::MayHaveRun(reason)
            }
            Ok(call) if call.head.status.is_success() => {
                let (sender, receiver) = mpsc::channel(STREAM_BUFFER_CHUNKS);
                let head = call.head.clone();
                let (tried, count) = (sends.tried, sends.count + 1);
                let relay = serving::StreamRelay::new(job, call, sender, tried, count, progress)
                    .with_expected(expected);
                tokio::spawn(relay.run());
                return Ok(StreamStart::Stream(head, receiver));
            }
            Ok(call) => match read_whole_answer(&job, call).await {
                Ok(start) => return Ok(start),
                Err(fault) => fault,
            },
            Err(fault) => fault,
        };
        let reported = job.report_fault(&slot, &fault).await;
        sends.record_fault(&job, &slot, &fault)?;
        if let Err(held) = reported {
            return Err(sends.final_refusal(&job, held));
        }
    }
}

/// Reads an answer that is not a stream.
async fn read_whole_answer<P: links::FleetPlatform>(
    job: &serving::RequestJob<P>,
    mut call: serving::TargetCall,
) -> Result<StreamStart, serving::SendFault> {
    let left = job.time_left(times::clocks::boot_now());
    let share = job.state.answer_budget().share();
    let reading = buffered_run::read_whole(&mut call.body, share);
    let body = tokio::time::timeout(left, reading).await;
    let body = body.unwrap_or(Err(serving::SendFault::TimedOut))?;
    if call.has_lost_process(job).await {
        let reason = serving::PROCESS_LOST.to_owned();
        return Err(serving::SendFault::MayHaveRun(reason));
    }
    let head = call.head.clone();
    call.finish();
    Ok(StreamStart::Whole(head, body))
}

fn log_send<P: links::FleetPlatform>(
    job: &serving::RequestJob<P>,
    slot: &state::TargetSlot,
    expected: time::Duration,
) {
    log::info!(
        event = "request-sent",
        attempt = job.head.attempt.as_str(),
        target_vm:% = slot.vm,
        generation:% = slot.generation,
        expected_ms = millis(expected),
        running = slot.gauge.running(),
        waiting = slot.gauge.waiting();
        ""
    );
}

/// The outcome of the sends so far.
#[derive(Debug, Default)]
struct StreamSends {
    tried: Vec<ids::VmName>,
    /// Sends that a target read or may have read.
    count: u32,
    unreached: u32,
    may_have_run: bool,
}

impl StreamSends {
    /// Returns whether the route and the retry budget allow the next send.
    fn may_send_again<P: links::FleetPlatform>(
        &self,
        job: &serving::RequestJob<P>,
        now: times::BootTime,
    ) -> bool {
        if self.count == 0 {
            return true;
        }
        let nodes = job.state.with_peers(|peers| peers.sharing_nodes(now));
        self.count < job.route.max_sends && job.state.retries().take(&job.service, nodes, now)
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
                .set_stuck(times::clocks::boot_now().after(UNREACHED_REST));
        }
        if fault.may_have_run() {
            self.may_have_run = true;
            self.count += 1;
            if !job.route.repeat.may_repeat() {
                return Err(serving::Refusal::Broken);
            }
            return Ok(());
        }
        self.unreached += 1;
        if self.unreached >= MAX_UNREACHED_TARGETS {
            return Err(self.final_refusal(job, serving::Refusal::Broken));
        }
        Ok(())
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
        match refusal {
            serving::Refusal::Broken | serving::Refusal::TimedOut => serving::Refusal::NotRun {
                retry_after: RETRY_AFTER,
            },
            other => other,
        }
    }
}
