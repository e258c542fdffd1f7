//! Requests that are answered by a stream of events.

use std::time;

use pier_types::{ids, times};
use tokio::sync::mpsc;

use super::request_job::millis;
use super::whole_run;
use crate::{links, serving};

/// Parts of a stream that wait for a slow caller.
const STREAM_DEPTH: usize = 8;

/// Time before the end that is left for this node's own answer.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(30);

/// Targets at most that could not be reached; none of them counts as a send.
const UNREACHED_TARGETS: u32 = 3;

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
    progress: crate::state::ProgressGuard<P>,
) -> Result<StreamStart, serving::Refusal> {
    let mut tried: Vec<ids::VmName> = Vec::new();
    let mut sends = 0;
    let mut unreached = 0;
    let mut may_have_run = false;
    let mut is_repeat = false;
    loop {
        let now = times::clocks::boot_now();
        if job.time_left(now) <= ANSWER_MARGIN {
            return Err(settle(may_have_run, &job, serving::Refusal::TimedOut));
        }
        // The objective of a request whose target was lost is over; an answer is better than none.
        let (slot, expected) = match job.choose(&tried, may_have_run, now) {
            serving::JobChoice::Send { slot, expected } => (slot, expected),
            serving::JobChoice::Refuse(refusal) => return Err(settle(may_have_run, &job, refusal)),
        };
        if is_repeat {
            let nodes = job.state.with_peers(|peers| peers.nodes(now));
            let has_budget = job.state.retries().take(&job.service, nodes, now);
            if sends >= job.route.max_sends || !has_budget {
                return Err(settle(may_have_run, &job, serving::Refusal::Broken));
            }
        }
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
        tried.push(slot.vm.clone());
        let limit = job.time_left(now).saturating_sub(ANSWER_MARGIN);
        let fault = match serving::TargetCall::send(&job, &slot, None, limit).await {
            Ok(call) if call.answer.is_not_run => {
                slot.gauge.note_answer(now.since(now), true);
                sends += 1;
                is_repeat = true;
                log::info!(
                    event = "target-refused",
                    attempt = job.head.attempt.as_str(),
                    target_vm:% = slot.vm,
                    status = call.head.status.as_u16();
                    ""
                );
                continue;
            }
            Ok(call) if !call.answer.is_genuine => {
                serving::SendFault::MayHaveRun("the answer bears no mark of the target".to_owned())
            }
            Ok(call) if call.head.status.is_success() => {
                let (sender, receiver) = mpsc::channel(STREAM_DEPTH);
                let head = call.head.clone();
                let relay =
                    serving::StreamRelay::new(job, call, sender, tried, sends + 1, progress)
                        .with_expected(expected);
                tokio::spawn(relay.run());
                return Ok(StreamStart::Stream(head, receiver));
            }
            Ok(mut call) => {
                let left = job.time_left(times::clocks::boot_now());
                let reading = whole_run::read_whole(&mut call.body);
                match tokio::time::timeout(left, reading).await {
                    Ok(Ok(body)) => {
                        let head = call.head.clone();
                        call.finish();
                        return Ok(StreamStart::Whole(head, body));
                    }
                    Ok(Err(reason)) => serving::SendFault::MayHaveRun(reason),
                    Err(_elapsed) => serving::SendFault::TimedOut,
                }
            }
            Err(fault) => fault,
        };
        log::info!(
            event = "send-failed",
            attempt = job.head.attempt.as_str(),
            target_vm:% = slot.vm,
            fault:? = fault;
            ""
        );
        if let serving::SendFault::Unreached(_) = fault {
            slot.gauge
                .set_stuck(times::clocks::boot_now().after(time::Duration::from_millis(500)));
        }
        if fault.may_have_run() {
            may_have_run = true;
            is_repeat = true;
            sends += 1;
            if !job.route.repeat.may_repeat() {
                return Err(serving::Refusal::Broken);
            }
        } else {
            unreached += 1;
            if unreached >= UNREACHED_TARGETS {
                return Err(settle(may_have_run, &job, serving::Refusal::Broken));
            }
        }
    }
}

/// Returns the truth about a request that is given up.
fn settle<P>(
    may_have_run: bool,
    job: &serving::RequestJob<P>,
    refusal: serving::Refusal,
) -> serving::Refusal {
    if may_have_run && !job.route.repeat.may_repeat() {
        return match refusal {
            serving::Refusal::TimedOut => serving::Refusal::TimedOut,
            _ => serving::Refusal::Broken,
        };
    }
    match refusal {
        serving::Refusal::Broken | serving::Refusal::TimedOut => serving::Refusal::NotRun {
            retry_after: time::Duration::from_millis(200),
        },
        other => other,
    }
}
