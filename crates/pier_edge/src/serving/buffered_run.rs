//! Runs requests whose answers are read completely before they are forwarded.

use std::{sync, time};

use pier_request::attempts;
use pier_types::{ids, times};

use super::request_job::millis;
use crate::{links, serving, state};

/// Multiple of a target's mean answer time after which a repeatable request is sent to another
/// one too.
const SLOW_ANSWER_FACTOR: u32 = 6;

/// Lower bound of that time.
const MIN_PATIENCE: time::Duration = time::Duration::from_millis(300);

/// Time before the deadline that is reserved for this node's own answer.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(30);

/// Unreachable targets after which a request is given up.
const MAX_UNREACHED_TARGETS: usize = 3;

/// When a caller may repeat a request that reached no target.
const UNREACHED_RETRY_AFTER: time::Duration = time::Duration::from_millis(200);

/// When a caller may repeat a request whose answer was lost: soon, as another target will get it.
const LOST_RETRY_AFTER: time::Duration = time::Duration::from_millis(100);

/// The head and the complete body of an answer.
pub(super) type BufferedAnswer = (http::response::Parts, serving::WholeAnswer);

/// A target's answer with what its head says.
type ReadAnswer = (
    http::response::Parts,
    serving::WholeAnswer,
    links::AnswerHead,
);

/// A send that has ended.
#[derive(Debug)]
struct EndedSend {
    slot: sync::Arc<state::TargetSlot>,
    taken: time::Duration,
    result: Result<ReadAnswer, serving::SendFault>,
}

/// Sends a request to one target after another until there is an answer to forward.
pub(super) async fn run<P: links::FleetPlatform>(
    job: &serving::RequestJob<P>,
) -> Result<BufferedAnswer, serving::Refusal> {
    let mut progress = SendProgress::default();
    let mut open = serving::OpenSends::default();
    loop {
        let now = times::clocks::boot_now();
        if open.needs_target() {
            match progress.next_target(job, open.vms(), open.count(), now) {
                Ok(slot) => {
                    log_send(job, &slot);
                    let left = job.time_left(now).saturating_sub(ANSWER_MARGIN);
                    let patience = patience(job, &slot, left);
                    open.push(&slot, patience, send(job, sync::Arc::clone(&slot), left));
                }
                Err(refusal) if open.is_empty() => return progress.give_up(refusal, job),
                // The retry budget or a target may have room a moment later.
                Err(_) if progress.sends + open.count() < job.max_sends() => {
                    open.start_search();
                }
                Err(_) => open.end_search(),
            }
        }
        let ended = match open.next().await {
            serving::SendEvent::Ended(ended) => ended,
            serving::SendEvent::Search => continue,
            serving::SendEvent::Silent(slot) => {
                if job.may_leave_silent(&slot) {
                    slot.gauge.record_answer(slot.gauge.answer_time(), true);
                    open.start_search();
                } else {
                    open.end_search();
                }
                continue;
            }
        };
        open.replace(&ended.slot);
        match ended.result {
            Ok((head, body, answer)) => {
                let is_failure = head.status.is_server_error();
                let gauge = &ended.slot.gauge;
                gauge.record_answer(ended.taken, is_failure || answer.is_not_run);
                if answer.is_not_run {
                    progress.refused = true;
                    progress.sends += 1;
                } else if is_failure && job.route.repeat.may_repeat() && answer.is_genuine() {
                    progress.sends += 1;
                    progress.answer = Some((head, body));
                } else {
                    if head.status.is_success() {
                        job.report_completion(&ended.slot);
                    }
                    return Ok((head, body));
                }
            }
            Err(fault) => {
                progress
                    .record_fault(job, &ended.slot, &fault, ended.taken)
                    .await;
                if fault.may_have_run() && !job.route.repeat.may_repeat() {
                    return progress.give_up(serving::Refusal::Broken, job);
                }
            }
        }
    }
}

fn log_send<P: links::FleetPlatform>(job: &serving::RequestJob<P>, slot: &state::TargetSlot) {
    if slot.is_node() {
        return;
    }
    log::debug!(
        event = "request-sent",
        attempt = job.head.attempt.as_str(),
        target_vm:% = slot.vm,
        store_age_ms = millis(job.state.knowledge_age(times::clocks::boot_now()));
        ""
    );
}

/// The outcome of the sends so far.
#[derive(Debug, Default)]
struct SendProgress {
    /// Ended sends that a target read or may have read.
    sends: u32,
    unreached: usize,
    /// Nodes that did not take the request over.
    unreached_nodes: usize,
    may_have_run: bool,
    refused: bool,
    /// Why the request must not be sent again.
    held: Option<serving::Refusal>,
    /// A target's error answer, forwarded when no better answer comes.
    answer: Option<BufferedAnswer>,
}

impl SendProgress {
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
    ) -> Result<sync::Arc<state::TargetSlot>, serving::Refusal> {
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
            return Err(serving::Refusal::NoTarget {
                retry_after: UNREACHED_RETRY_AFTER,
            });
        }
        let slot = match job.choose(tried, false, now) {
            serving::TargetChoice::Send { slot, .. } => slot,
            serving::TargetChoice::Refuse(refusal) => return Err(refusal),
        };
        let sends = self.sends + open;
        if sends > 0 {
            let nodes = job.state.with_peers(|peers| peers.sharing_nodes(now));
            let has_budget = || job.state.retries().take(&job.service, nodes, now);
            if sends >= job.max_sends() || !has_budget() {
                slot.give_limit_back(now);
                return Err(serving::Refusal::Broken);
            }
        }
        Ok(slot)
    }

    /// Records a send that brought no answer.
    async fn record_fault<P: links::FleetPlatform>(
        &mut self,
        job: &serving::RequestJob<P>,
        slot: &sync::Arc<state::TargetSlot>,
        fault: &serving::SendFault,
        taken: time::Duration,
    ) {
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
        if !fault.is_own() {
            slot.gauge.record_answer(taken, true);
        }
        let reported = job.report_fault(slot, fault).await;
        if fault.may_have_run() {
            self.sends += 1;
            self.may_have_run = true;
            self.held = reported.err();
        } else {
            if slot.is_node() {
                self.unreached_nodes += 1;
            } else {
                self.unreached += 1;
            }
            self.held = reported.err().or(self.held.take());
        }
    }

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

/// Returns after which time a target counts as silent, so that another one is asked too.
fn patience<P: links::FleetPlatform>(
    job: &serving::RequestJob<P>,
    slot: &state::TargetSlot,
    left: time::Duration,
) -> time::Duration {
    if !job.route.repeat.may_repeat() {
        return left;
    }
    let patience = (slot.gauge.answer_time() * SLOW_ANSWER_FACTOR).max(MIN_PATIENCE);
    left.min(patience)
}

async fn send<P: links::FleetPlatform>(
    job: &serving::RequestJob<P>,
    slot: sync::Arc<state::TargetSlot>,
    limit: time::Duration,
) -> EndedSend {
    let started = times::clocks::boot_now();
    let result = send_once(job, &slot, limit).await;
    let taken = times::clocks::boot_now().since(started);
    EndedSend {
        slot,
        taken,
        result,
    }
}

async fn send_once<P: links::FleetPlatform>(
    job: &serving::RequestJob<P>,
    slot: &sync::Arc<state::TargetSlot>,
    limit: time::Duration,
) -> Result<ReadAnswer, serving::SendFault> {
    let started = times::clocks::boot_now();
    let mut call = serving::TargetCall::send(job, slot, None, limit).await?;
    call.guard.mark_started();
    let left = limit.saturating_sub(times::clocks::boot_now().since(started));
    let room = job.state.answers();
    let reading = serving::WholeAnswer::read(&mut call.body, room, job.answer_owner());
    let body = tokio::time::timeout(left, reading).await;
    let (body, pause) = body.unwrap_or(Err(serving::SendFault::TimedOut))?;
    let (head, answer) = (call.head.clone(), call.answer.clone());
    let metrics = job.state.metrics();
    metrics.count_received_bytes(slot.is_local, body.len());
    // A refusal's head says all of it.
    if !answer.is_not_run {
        let end = call
            .body_end(job, attempts::ContentEnd::Opaque, pause)
            .await;
        if let Some(reason) = end.fault() {
            return Err(serving::SendFault::of_end(reason, pause));
        }
    }
    slot.gauge.record_progress(times::clocks::boot_now());
    call.finish();
    Ok((head, body, answer))
}
