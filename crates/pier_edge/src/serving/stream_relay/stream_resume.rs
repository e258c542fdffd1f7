//! Resumes a stream at another target.

use std::{sync, time};

use pier_types::times;

use crate::{links, serving, state};

/// How long resuming a stream may take: callers give up after two seconds without an event.
const RESUME_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Delay before looking again for a target with free capacity.
const RESUME_RETRY_DELAY: time::Duration = time::Duration::from_millis(60);

impl<P: links::FleetPlatform> serving::StreamRelay<P> {
    /// Resumes the stream at another target after the last forwarded event; returns whether that
    /// succeeded.
    pub(super) async fn resume(&mut self) -> bool {
        let state = self.job.state.clone();
        let started = times::clocks::boot_now();
        state.metrics().count_resume("tried");
        if !self.job.route.repeat.may_repeat() {
            return false;
        }
        let max_sends = self.job.route.max_sends;
        self.splitter.take_rest();
        let mut budget_taken = false;
        loop {
            let now = times::clocks::boot_now();
            let is_over = now.since(started) >= RESUME_TIMEOUT || self.job.time_left(now).is_zero();
            if self.is_held || is_over || self.sends >= max_sends || self.parts.is_closed() {
                return false;
            }
            let chosen = match self.job.choose(&self.tried, true, now) {
                serving::TargetChoice::Send { slot, .. } => slot,
                serving::TargetChoice::Refuse(_) => {
                    // A group that was formed again may be served by the same VM.
                    self.tried.clear();
                    tokio::time::sleep(RESUME_RETRY_DELAY).await;
                    continue;
                }
            };
            let nodes = state.with_peers(|peers| peers.sharing_nodes(now));
            if !budget_taken && !state.retries().take(&self.job.service, nodes, now) {
                log::info!(
                    event = "retry-budget-empty",
                    attempt = self.job.head.attempt.as_str();
                    ""
                );
                return false;
            }
            budget_taken = true;
            self.tried.push(chosen.vm.clone());
            if self.resume_at(&chosen).await {
                state.metrics().count_resume("done");
                return true;
            }
        }
    }

    /// Requests the rest of the stream from a target; returns whether the target took it on.
    async fn resume_at(&mut self, slot: &sync::Arc<state::TargetSlot>) -> bool {
        let left = self.job.time_left(times::clocks::boot_now());
        let after = self.last_event.clone();
        let sending = serving::TargetCall::send(&self.job, slot, after.as_deref(), left);
        let sent = tokio::select! {
            sent = sending => sent,
            () = self.parts.closed() => return false,
        };
        match sent {
            Ok(call) if call.head.status.is_success() && call.answer.is_genuine => {
                log::info!(
                    event = "stream-resumed",
                    attempt = self.job.head.attempt.as_str(),
                    target_vm:% = slot.vm,
                    after = after.as_deref().unwrap_or("");
                    ""
                );
                self.sends += 1;
                self.resumed += 1;
                self.stuck = slot.watch_stuck();
                self.call = call;
                if self.events > 0 {
                    self.call.guard.mark_started();
                }
                true
            }
            Ok(call) => {
                self.sends += 1;
                log::info!(
                    event = "resume-refused",
                    attempt = self.job.head.attempt.as_str(),
                    target_vm:% = slot.vm,
                    status = call.head.status.as_u16();
                    ""
                );
                false
            }
            Err(fault) => {
                let reported = self.job.report_fault(slot, &fault).await;
                log::info!(
                    event = "resume-failed",
                    attempt = self.job.head.attempt.as_str(),
                    fingerprint:% = self.job.fingerprint,
                    target_vm:% = slot.vm,
                    born:% = slot.born,
                    fault:? = fault;
                    ""
                );
                if fault.may_have_run() {
                    self.sends += 1;
                }
                self.is_held |= reported.is_err();
                false
            }
        }
    }
}
