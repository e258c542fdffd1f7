//! Requests that are answered by a stream of events.

use std::time;

use pier_types::{ids, times};
use tokio::sync::mpsc;

use super::request_job::millis;
use super::whole_run;
use crate::{links, serving, state};

/// Parts of a stream that wait for a slow caller.
const STREAM_BUFFER_CHUNKS: usize = 8;

/// Time before the end that is left for this node's own answer.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(30);

/// Targets at most that could not be reached; none of them counts as a send.
const MAX_UNREACHED_TARGETS: u32 = 3;

/// How long a target to which no connection came about gets nothing new.
const UNREACHED_QUARANTINE: time::Duration = time::Duration::from_millis(500);

/// When a caller may come back whose request was not answered: about a group's repair.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(200);

/// An answer to a request for a stream.
#[derive(Debug)]
pub(super) enum StreamStart {
    /// A stream has begun.
    Stream(
        http::response::Parts,
        mpsc::Receiver<Result<bytes::Bytes, serving::StreamCut>>,
    ),
    /// A target answered otherwise.
    Whole(http::response::Parts, bytes::Bytes),
}

/// Sends a request until a stream begins.
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
        // The objective of a request whose target was lost is over; an answer is better than none.
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
                serving::SendFault::MayHaveRun("the answer bears no mark of the target".to_owned())
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
        sends.record_fault(&job, &slot, &fault)?;
    }
}

/// Reads an answer that is no stream.
async fn read_whole_answer<P: links::FleetPlatform>(
    job: &serving::RequestJob<P>,
    mut call: serving::TargetCall,
) -> Result<StreamStart, serving::SendFault> {
    let left = job.time_left(times::clocks::boot_now());
    let reading = whole_run::read_whole(&mut call.body);
    match tokio::time::timeout(left, reading).await {
        Ok(Ok(body)) => {
            let head = call.head.clone();
            call.finish();
            Ok(StreamStart::Whole(head, body))
        }
        Ok(Err(reason)) => Err(serving::SendFault::MayHaveRun(reason)),
        Err(_elapsed) => Err(serving::SendFault::TimedOut),
    }
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

/// What became of the sends so far.
#[derive(Debug, Default)]
struct StreamSends {
    tried: Vec<ids::VmName>,
    /// Sends that a target has read, or may have read.
    count: u32,
    unreached: u32,
    may_have_run: bool,
}

impl StreamSends {
    /// Tells whether the route and the budget of retries allow the next send.
    fn may_send_again<P: links::FleetPlatform>(
        &self,
        job: &serving::RequestJob<P>,
        now: times::BootTime,
    ) -> bool {
        if self.count == 0 {
            return true;
        }
        let nodes = job.state.with_peers(|peers| peers.nodes(now));
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

    /// Takes in a send that brought no answer; fails when the request can not be sent again.
    fn record_fault<P: links::FleetPlatform>(
        &mut self,
        job: &serving::RequestJob<P>,
        slot: &state::TargetSlot,
        fault: &serving::SendFault,
    ) -> Result<(), serving::Refusal> {
        log::info!(
            event = "send-failed",
            attempt = job.head.attempt.as_str(),
            target_vm:% = slot.vm,
            fault:? = fault;
            ""
        );
        if let serving::SendFault::Unreached(_) = fault {
            slot.gauge
                .set_stuck(times::clocks::boot_now().after(UNREACHED_QUARANTINE));
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

    /// Returns the truth about a request that is given up.
    fn final_refusal<P>(
        &self,
        job: &serving::RequestJob<P>,
        refusal: serving::Refusal,
    ) -> serving::Refusal {
        if self.may_have_run {
            return match refusal {
                serving::Refusal::TimedOut => serving::Refusal::TimedOut,
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
