//! Runs requests whose answers are read completely before they are forwarded.

use std::time;

use http_body_util::BodyExt as _;
use pier_types::{ids, times};

use super::request_job::millis;
use crate::{links, serving};

/// Greatest size of an answer that is buffered.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Multiple of a target's mean answer time after which a repeatable request is sent to another
/// one.
const SLOW_ANSWER_FACTOR: u32 = 6;

/// Lower bound of that time-out.
const MIN_SEND_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Time before the deadline that is reserved for this node's own answer.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(30);

/// Unreachable targets after which a request is given up.
const MAX_UNREACHED_TARGETS: usize = 3;

/// When a caller may repeat a request whose answer was lost: soon, as another target will get it.
const LOST_RETRY_AFTER: time::Duration = time::Duration::from_millis(100);

/// The head and the complete body of an answer.
pub(super) type BufferedAnswer = (http::response::Parts, bytes::Bytes);

/// Sends a request to one target after another until there is an answer to forward.
pub(super) async fn run<P: links::FleetPlatform>(
    job: &serving::RequestJob<P>,
) -> Result<BufferedAnswer, serving::Refusal> {
    let mut progress = SendProgress::default();
    loop {
        let now = times::clocks::boot_now();
        if job.time_left(now) <= ANSWER_MARGIN {
            return progress.give_up(serving::Refusal::TimedOut, job);
        }
        let slot = match job.choose(&progress.tried, false, now) {
            serving::TargetChoice::Send { slot, .. } => slot,
            serving::TargetChoice::Refuse(refusal) => return progress.give_up(refusal, job),
        };
        if progress.sends > 0 {
            let nodes = job.state.with_peers(|peers| peers.sharing_nodes(now));
            let has_budget = job.state.retries().take(&job.service, nodes, now);
            if progress.sends >= job.route.max_sends || !has_budget {
                return progress.give_up(serving::Refusal::Broken, job);
            }
        }
        let limit = send_limit(job, &slot, progress.sends, now);
        log::debug!(
            event = "request-sent",
            attempt = job.head.attempt.as_str(),
            target_vm:% = slot.vm;
            ""
        );
        let sent = send_once(job, &slot, limit).await;
        progress.tried.push(slot.vm.clone());
        let taken = times::clocks::boot_now().since(now);
        match sent {
            Ok((head, body, answer)) => {
                let is_failure = head.status.is_server_error();
                slot.gauge
                    .record_answer(taken, is_failure || answer.is_not_run);
                if answer.is_not_run {
                    progress.refused = true;
                    progress.sends += 1;
                } else if is_failure && job.route.repeat.may_repeat() && answer.is_genuine {
                    progress.sends += 1;
                    progress.answer = Some((head, body));
                } else {
                    if head.status.is_success() {
                        job.report_completion(&slot);
                    }
                    return Ok((head, body));
                }
            }
            Err(fault) => {
                log::info!(
                    event = "send-failed",
                    attempt = job.head.attempt.as_str(),
                    fingerprint:% = job.fingerprint,
                    target_vm:% = slot.vm,
                    born:% = slot.born,
                    fault:? = fault,
                    taken_ms = millis(taken);
                    ""
                );
                slot.gauge.record_answer(taken, true);
                let reported = job.report_fault(&slot, &fault).await;
                if fault.may_have_run() {
                    progress.sends += 1;
                    progress.may_have_run = true;
                    if let Err(held) = reported {
                        return progress.give_up(held, job);
                    }
                    if !job.route.repeat.may_repeat() {
                        return progress.give_up(serving::Refusal::Broken, job);
                    }
                } else {
                    progress.unreached += 1;
                    if progress.unreached >= MAX_UNREACHED_TARGETS {
                        let wait = time::Duration::from_millis(200);
                        let refusal = serving::Refusal::NoTarget { retry_after: wait };
                        return progress.give_up(refusal, job);
                    }
                }
            }
        }
    }
}

/// The outcome of the sends so far.
#[derive(Debug, Default)]
struct SendProgress {
    tried: Vec<ids::VmName>,
    sends: u32,
    unreached: usize,
    may_have_run: bool,
    refused: bool,
    /// A target's error answer, forwarded when no better answer comes.
    answer: Option<BufferedAnswer>,
}

impl SendProgress {
    /// Ends the request with a target's error answer, or else with the refusal that says whether
    /// it may have run.
    fn give_up<P>(
        &mut self,
        refusal: serving::Refusal,
        job: &serving::RequestJob<P>,
    ) -> Result<BufferedAnswer, serving::Refusal> {
        if let Some(answer) = self.answer.take() {
            return Ok(answer);
        }
        if self.may_have_run {
            return Err(match refusal {
                serving::Refusal::TimedOut => serving::Refusal::TimedOut,
                serving::Refusal::HeldBack { retry_after } if job.route.repeat.may_repeat() => {
                    serving::Refusal::Lost { retry_after }
                }
                _ if job.route.repeat.may_repeat() => serving::Refusal::Lost {
                    retry_after: LOST_RETRY_AFTER,
                },
                _ => serving::Refusal::Broken,
            });
        }
        if let serving::Refusal::Paused { .. } = refusal {
            return Err(refusal);
        }
        if self.refused || refusal == serving::Refusal::Broken {
            return Err(serving::Refusal::NotRun {
                retry_after: time::Duration::from_millis(100),
            });
        }
        if refusal == serving::Refusal::TimedOut {
            return Err(serving::Refusal::NotRun {
                retry_after: time::Duration::from_millis(500),
            });
        }
        Err(refusal)
    }
}

/// Returns the time-out for one send: the remaining time if no other send may follow it.
fn send_limit<P: links::FleetPlatform>(
    job: &serving::RequestJob<P>,
    slot: &crate::state::TargetSlot,
    sends: u32,
    now: times::BootTime,
) -> time::Duration {
    let left = job.time_left(now).saturating_sub(ANSWER_MARGIN);
    if !job.route.repeat.may_repeat() || sends + 1 >= job.route.max_sends {
        return left;
    }
    let timeout = (slot.gauge.answer_time() * SLOW_ANSWER_FACTOR).max(MIN_SEND_TIMEOUT);
    left.min(timeout)
}

async fn send_once<P: links::FleetPlatform>(
    job: &serving::RequestJob<P>,
    slot: &std::sync::Arc<crate::state::TargetSlot>,
    limit: time::Duration,
) -> Result<(http::response::Parts, bytes::Bytes, links::AnswerHead), serving::SendFault> {
    let started = times::clocks::boot_now();
    let mut call = serving::TargetCall::send(job, slot, None, limit).await?;
    call.guard.mark_started();
    let left = limit.saturating_sub(times::clocks::boot_now().since(started));
    let share = job.state.answer_budget().share();
    let body = tokio::time::timeout(left, read_whole(&mut call.body, share)).await;
    let body = body.unwrap_or(Err(serving::SendFault::TimedOut))?;
    let (head, answer) = (call.head.clone(), call.answer.clone());
    if !answer.is_not_run && !answer.is_genuine && head.status.is_success() {
        let reason = "the answer lacks the target's mark for this attempt".to_owned();
        return Err(serving::SendFault::MayHaveRun(reason));
    }
    if !answer.is_not_run && call.has_lost_process(job).await {
        let reason = serving::PROCESS_LOST.to_owned();
        return Err(serving::SendFault::MayHaveRun(reason));
    }
    slot.gauge.record_progress(times::clocks::boot_now());
    call.finish();
    Ok((head, body, answer))
}

/// Reads a body to its end.
///
/// # Errors
///
/// Fails when the body is truncated, larger than [`MAX_ANSWER_BYTES`], or larger than what is left
/// of the node's budget.
pub(super) async fn read_whole(
    body: &mut hyper::body::Incoming,
    mut share: serving::BudgetShare,
) -> Result<bytes::Bytes, serving::SendFault> {
    let mut whole = bytes::BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| serving::SendFault::MayHaveRun(error.to_string()))?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let length = whole.len() + data.len();
        if length > MAX_ANSWER_BYTES {
            return Err(serving::SendFault::TooLarge(serving::AnswerLimit::Body));
        }
        if !share.grow_to(length) {
            return Err(serving::SendFault::TooLarge(serving::AnswerLimit::Budget));
        }
        whole.extend_from_slice(data);
    }
    Ok(share.attach(whole.freeze()))
}
