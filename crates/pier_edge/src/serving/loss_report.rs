//! Reports targets that were lost while they ran a request.

use std::{
    sync::{self, atomic},
    time,
};

use pier_request::quarantine;
use pier_types::{ids, times};

use crate::{contacts, crashes, links, serving, state};

/// Greatest age of a check whose result counts for further requests that lost the same target.
const CHECK_LIFETIME: time::Duration = time::Duration::from_millis(100);

/// Pauses before each further check of a target that was still listening: a process that ends may
/// close its connections before its port.
const RECHECK_PAUSES: [time::Duration; 2] = [
    time::Duration::from_millis(40),
    time::Duration::from_millis(160),
];

/// Greatest age of a further check whose result counts for other requests.
const RECHECK_LIFETIME: time::Duration = time::Duration::from_millis(20);

/// How long a target must live on after an answer that shows the parts of its prompt to be sound.
const SOUND_DELAY: time::Duration = time::Duration::from_millis(200);

/// How long a target gets no requests after an answer that exceeded a limit.
const TOO_LARGE_REST: time::Duration = time::Duration::from_millis(500);

impl<P: links::FleetPlatform> serving::RequestJob<P> {
    /// Reports a target that was lost while it ran this request.
    ///
    /// # Errors
    ///
    /// Fails when the request is held back and must not be sent again.
    pub(super) async fn report_fault(
        &self,
        slot: &sync::Arc<state::TargetSlot>,
        fault: &serving::SendFault,
    ) -> Result<(), serving::Refusal> {
        match fault {
            serving::SendFault::MayHaveRun(_) => self.report_closed(slot).await,
            serving::SendFault::Unread(_) => self.report_unread(slot),
            serving::SendFault::TooLarge(limit) => self.report_too_large(slot, *limit),
            serving::SendFault::TimedOut => self.report_silent(slot),
            serving::SendFault::Refused(refusal) => Err(serving::Refusal::ByNode(refusal.clone())),
            serving::SendFault::Unreached(_) | serving::SendFault::NotSent(_) => Ok(()),
        }
    }

    /// Reports a target that closed this request's connection, and finds out why.
    ///
    /// # Errors
    ///
    /// Fails when the request is held back and must not be sent again.
    pub(super) async fn report_closed(
        &self,
        slot: &sync::Arc<state::TargetSlot>,
    ) -> Result<(), serving::Refusal> {
        self.mark_sent();
        if slot.is_node() {
            return self.check_held();
        }
        let now = times::clocks::boot_now();
        if let Some(link) = &slot.centre_link {
            link.record_failure(&slot.vm, now);
        }
        let cause = find_cause(&self.state, slot, CHECK_LIFETIME, now).await;
        let label = label(cause);
        self.state.metrics().count_loss(label);
        log::info!(
            event = "target-closed-connection",
            attempt = self.head.attempt.as_str(),
            fingerprint:% = self.fingerprint,
            prompt_parts = links::parts_text(&self.head.shared_parts).as_str(),
            target_vm:% = slot.vm,
            born:% = slot.born,
            cause = label;
            ""
        );
        let checked_at = times::clocks::boot_now();
        let loss = self.loss(slot);
        if cause.is_none() {
            let (state, slot) = (self.state.clone(), sync::Arc::clone(slot));
            tokio::spawn(recheck(state, slot, loss.clone()));
        }
        if cause == Some(quarantine::LossCause::Unreachable) {
            self.state
                .record_unreached(&self.service, &slot.vm, checked_at);
        }
        self.state.crashes().record_loss(loss, cause, checked_at);
        self.check_held()
    }

    /// Reports an answer that its target broke off while this node left it unread, which says nothing
    /// against the target.
    ///
    /// # Errors
    ///
    /// Fails when the request is held back and must not be sent again.
    pub(super) fn report_unread(&self, slot: &state::TargetSlot) -> Result<(), serving::Refusal> {
        self.mark_sent();
        self.state.metrics().count_loss("unread");
        log::info!(
            event = "answer-unread",
            attempt = self.head.attempt.as_str(),
            target_vm:% = slot.vm,
            born:% = slot.born;
            ""
        );
        self.check_held()
    }

    /// Reports an answer that exceeded a limit; a target at fault gets no requests for a while.
    ///
    /// # Errors
    ///
    /// Fails when the request is held back and must not be sent again.
    pub(super) fn report_too_large(
        &self,
        slot: &state::TargetSlot,
        limit: serving::AnswerLimit,
    ) -> Result<(), serving::Refusal> {
        self.mark_sent();
        let now = times::clocks::boot_now();
        self.state.metrics().count_loss("answer-too-large");
        log::warn!(
            event = "answer-too-large",
            attempt = self.head.attempt.as_str(),
            target_vm:% = slot.vm,
            born:% = slot.born,
            limit = limit.label();
            ""
        );
        if limit.is_targets_own() && !slot.is_node() {
            slot.gauge.set_stuck(now.after(TOO_LARGE_REST));
        }
        self.check_held()
    }

    /// Reports a target that is silent; whether it crashed shows when it registers again.
    ///
    /// # Errors
    ///
    /// Fails when the request is held back and must not be sent again.
    pub(super) fn report_silent(
        &self,
        slot: &sync::Arc<state::TargetSlot>,
    ) -> Result<(), serving::Refusal> {
        self.mark_sent();
        if slot.is_node() {
            return self.check_held();
        }
        let now = times::clocks::boot_now();
        let cause = Some(quarantine::LossCause::Unreachable);
        self.state
            .crashes()
            .record_loss(self.loss(slot), cause, now);
        self.check_held()
    }

    /// Reports a target that is silent, and returns whether the request may be sent to another one
    /// meanwhile.
    pub(super) fn may_leave_silent(&self, slot: &sync::Arc<state::TargetSlot>) -> bool {
        let is_held = self.report_silent(slot).is_err();
        let may_leave = self.route.repeat.may_repeat() && !is_held;
        log::info!(
            event = "target-silent",
            attempt = self.head.attempt.as_str(),
            fingerprint:% = self.fingerprint,
            target_vm:% = slot.vm,
            born:% = slot.born,
            looks_elsewhere = may_leave;
            ""
        );
        may_leave
    }

    /// Records that a target may have received the request.
    fn mark_sent(&self) {
        self.may_have_run.store(true, atomic::Ordering::Relaxed);
    }

    fn loss(&self, slot: &state::TargetSlot) -> crashes::RequestLoss {
        crashes::RequestLoss {
            fingerprint: self.fingerprint,
            parts: self.head.shared_parts.clone(),
            lost: slot.as_lost(),
            suspects: slot.gauge.running() + slot.gauge.waiting(),
        }
    }

    fn check_held(&self) -> Result<(), serving::Refusal> {
        let now = times::clocks::boot_now();
        let ledger = self.state.crashes();
        let held = ledger.held_for(self.fingerprint, &self.head.shared_parts, now);
        held.map_or(Ok(()), |retry_after| {
            Err(serving::Refusal::HeldBack { retry_after })
        })
    }

    /// Records that the request was answered completely, so that it crashed no target.
    pub(super) fn report_completion(&self, slot: &sync::Arc<state::TargetSlot>) {
        let now = times::clocks::boot_now();
        self.state
            .crashes()
            .record_completion(self.fingerprint, now);
        if !self.head.shared_parts.is_empty() && !slot.is_node() {
            let (state, slot) = (self.state.clone(), sync::Arc::clone(slot));
            tokio::spawn(check_sound(state, slot, self.head.shared_parts.clone()));
        }
    }
}

/// Returns why a target closed a connection, or `None` while it accepts others.
async fn find_cause<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    slot: &state::TargetSlot,
    max_age: time::Duration,
    now: times::BootTime,
) -> Option<quarantine::LossCause> {
    let target = slot.as_lost();
    let registered =
        state.with_registry(|registry| crashes::registered_cause(registry, &target, now, now));
    if registered.is_some() {
        return registered;
    }
    let found = slot.loss_check.run(&slot.connections, max_age, now).await;
    if found == Some(quarantine::LossCause::ProcessLost)
        && !contacts::reaches_another(state, slot).await
    {
        // This node's own links may be cut, and only a registration can tell.
        return Some(quarantine::LossCause::Unreachable);
    }
    found
}

/// Checks a target again that closed a connection and was still listening.
async fn recheck<P: links::FleetPlatform>(
    state: state::EdgeState<P>,
    slot: sync::Arc<state::TargetSlot>,
    loss: crashes::RequestLoss,
) {
    for pause in RECHECK_PAUSES {
        tokio::time::sleep(pause).await;
        let now = times::clocks::boot_now();
        match find_cause(&state, &slot, RECHECK_LIFETIME, now).await {
            None | Some(quarantine::LossCause::Unreachable) => {}
            Some(quarantine::LossCause::Ordered) => return,
            Some(cause @ quarantine::LossCause::ProcessLost) => {
                log::info!(
                    event = "crash-found-late",
                    fingerprint:% = loss.fingerprint,
                    target_vm:% = slot.vm,
                    born:% = slot.born;
                    ""
                );
                let found_at = times::clocks::boot_now();
                state.crashes().record_loss(loss, Some(cause), found_at);
                return;
            }
        }
    }
}

/// Records the parts of a prompt whose answer was complete as sound if the target lives on after it.
///
/// A short answer may be complete before its target crashes, and the end of one without framing is
/// like that of a crash.
async fn check_sound<P: links::FleetPlatform>(
    state: state::EdgeState<P>,
    slot: sync::Arc<state::TargetSlot>,
    parts: Vec<ids::PromptPart>,
) {
    tokio::time::sleep(SOUND_DELAY).await;
    if slot.loss_check.has_found_end().await {
        return;
    }
    let now = times::clocks::boot_now();
    let is_connected = slot.connections.has_open_idle() || slot.gauge.local_in_flight() > 0;
    let cause = if is_connected {
        let target = slot.as_lost();
        state.with_registry(|registry| crashes::registered_cause(registry, &target, now, now))
    } else {
        find_cause(&state, &slot, CHECK_LIFETIME, now).await
    };
    if cause.is_none() {
        state.crashes().record_sound_parts(&parts, now);
    }
}

const fn label(cause: Option<quarantine::LossCause>) -> &'static str {
    match cause {
        None => "still-listening",
        Some(quarantine::LossCause::ProcessLost) => "process-lost",
        Some(quarantine::LossCause::Unreachable) => "unreachable",
        Some(quarantine::LossCause::Ordered) => "leaving",
    }
}
