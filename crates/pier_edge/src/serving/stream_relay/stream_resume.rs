//! Continues a stream at another target.

use std::{sync, time};

use http_body_util::BodyExt as _;
use hyper::body::{Bytes, Frame};
use pier_types::{ids, times};

use super::RelayStep;
use crate::{links, serving, state};

/// How long resuming a stream may take: callers give up after two seconds without an event.
const RESUME_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Delay before looking again for a target with free capacity.
const RESUME_RETRY_DELAY: time::Duration = time::Duration::from_millis(60);

/// A part of a target's body, or its end.
type BodyFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

/// What happened next while another target is asked to continue the stream of a silent one.
enum RaceEvent {
    /// The silent target spoke, or ended its body.
    Current(BodyFrame),
    /// Another target took the stream on, or none may be asked.
    Found(Option<Box<serving::TargetCall>>),
    /// The other target spoke, or ended its body.
    Rival(BodyFrame),
    RivalSilent,
    CallerLeft,
    TimeOver,
}

impl<P: links::FleetPlatform> serving::StreamRelay<P> {
    /// Resumes the stream at another target after the last forwarded event; returns whether that
    /// succeeded.
    pub(super) async fn resume(&mut self) -> bool {
        self.job.state.metrics().count_resume("tried");
        if !self.job.route.repeat.may_repeat() {
            return false;
        }
        let until = times::clocks::boot_now().after(RESUME_TIMEOUT);
        let mut search = TargetSearch::of(self, until, None);
        let found = tokio::select! {
            found = search.find() => found,
            () = self.parts.closed() => None,
        };
        self.record_search(&search);
        let Some(call) = found else {
            return false;
        };
        self.adopt(*call);
        true
    }

    /// Looks for another target while the current one is silent, and continues with the one that
    /// speaks first. Returns the next step, or `None` to wait for the current target.
    pub(super) async fn race(&mut self) -> Option<RelayStep> {
        self.job.state.metrics().count_resume("tried");
        let until = self.job.deadline;
        let silent_vm = self.call.slot.vm.clone();
        let mut search = TargetSearch::of(self, until, Some(silent_vm));
        let step = self.race_with(&mut search).await;
        self.record_search(&search);
        step
    }

    async fn race_with(&mut self, search: &mut TargetSearch<P>) -> Option<RelayStep> {
        loop {
            let left = self.job.time_left(times::clocks::boot_now());
            let event = tokio::select! {
                frame = self.call.body.frame() => RaceEvent::Current(frame),
                found = search.find() => RaceEvent::Found(found),
                () = self.parts.closed() => RaceEvent::CallerLeft,
                () = tokio::time::sleep(left) => RaceEvent::TimeOver,
            };
            let mut rival = match event {
                RaceEvent::Found(found) => found?,
                event => return self.step_of(event).await,
            };
            let mut rival_stuck = rival.slot.watch_stuck();
            let may_search = search.may_send();
            let left = self.job.time_left(times::clocks::boot_now());
            let event = tokio::select! {
                frame = self.call.body.frame() => RaceEvent::Current(frame),
                frame = rival.body.frame() => RaceEvent::Rival(frame),
                Ok(()) = rival_stuck.changed(), if may_search => RaceEvent::RivalSilent,
                () = self.parts.closed() => RaceEvent::CallerLeft,
                () = tokio::time::sleep(left) => RaceEvent::TimeOver,
            };
            match event {
                RaceEvent::Rival(Some(Err(error))) => {
                    let reported = self.job.report_closed(&rival.slot).await;
                    log_failed(&self.job, &rival.slot, &error.to_string());
                    search.is_held |= reported.is_err();
                }
                RaceEvent::RivalSilent => search.is_held |= !self.job.may_leave_silent(&rival.slot),
                RaceEvent::Rival(frame) => {
                    self.adopt(*rival);
                    return Some(self.frame_step(frame).await);
                }
                event => {
                    let step = self.step_of(event).await?;
                    if let RelayStep::Closed(reason) = step {
                        self.log_loss(&reason);
                        let reported = self.job.report_closed(&self.call.slot).await;
                        search.is_held |= reported.is_err();
                        self.adopt(*rival);
                        return None;
                    }
                    return Some(step);
                }
            }
        }
    }

    async fn step_of(&mut self, event: RaceEvent) -> Option<RelayStep> {
        match event {
            RaceEvent::Current(frame) => Some(self.frame_step(frame).await),
            RaceEvent::CallerLeft => Some(RelayStep::CallerLeft),
            RaceEvent::TimeOver => Some(RelayStep::TimeOver),
            RaceEvent::Found(_) | RaceEvent::Rival(_) | RaceEvent::RivalSilent => None,
        }
    }

    fn record_search(&mut self, search: &TargetSearch<P>) {
        self.tried.clone_from(&search.tried);
        self.sends = search.sends;
        self.is_held |= search.is_held;
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
        self.splitter.take_rest();
        self.stuck = call.slot.watch_stuck();
        self.call = call;
        if self.events > 0 {
            self.call.guard.mark_started();
        }
    }
}

/// The search for a target that takes a stream on.
#[derive(Debug)]
struct TargetSearch<P> {
    job: sync::Arc<serving::RequestJob<P>>,
    /// Id of the event after which the stream is to be resumed.
    after: Option<String>,
    until: times::BootTime,
    /// The target that is silent and may go on.
    silent_vm: Option<ids::VmName>,
    tried: Vec<ids::VmName>,
    /// Sends that a target read or may have read.
    sends: u32,
    /// Whether the retry budget allows the next send.
    has_permit: bool,
    /// Whether the request must not be sent again, as its targets crashed.
    is_held: bool,
}

impl<P: links::FleetPlatform> TargetSearch<P> {
    fn of(
        relay: &serving::StreamRelay<P>,
        until: times::BootTime,
        silent_vm: Option<ids::VmName>,
    ) -> Self {
        Self {
            job: sync::Arc::clone(&relay.job),
            after: relay.last_event.clone(),
            until,
            silent_vm,
            tried: relay.tried.clone(),
            sends: relay.sends,
            has_permit: false,
            is_held: relay.is_held,
        }
    }

    fn may_send(&self) -> bool {
        !self.is_held && self.sends < self.job.max_sends()
    }

    /// Asks one target after another until one takes the stream on; returns `None` when no further
    /// send is allowed.
    async fn find(&mut self) -> Option<Box<serving::TargetCall>> {
        loop {
            let now = times::clocks::boot_now();
            if !self.may_send() || now >= self.until || self.job.time_left(now).is_zero() {
                return None;
            }
            let slot = match self.job.choose(&self.tried, true, now) {
                serving::TargetChoice::Send { slot, .. } => slot,
                serving::TargetChoice::Refuse(_) => {
                    // A group that was formed again may be served by the same VM.
                    let silent_vm = &self.silent_vm;
                    self.tried.retain(|vm| Some(vm) == silent_vm.as_ref());
                    tokio::time::sleep(RESUME_RETRY_DELAY).await;
                    continue;
                }
            };
            if !self.take_permit(now) {
                return None;
            }
            self.tried.push(slot.vm.clone());
            if let Some(call) = self.send(&slot).await {
                return Some(Box::new(call));
            }
        }
    }

    fn take_permit(&mut self, now: times::BootTime) -> bool {
        let state = &self.job.state;
        let nodes = state.with_peers(|peers| peers.sharing_nodes(now));
        if !self.has_permit && !state.retries().take(&self.job.service, nodes, now) {
            log::info!(
                event = "retry-budget-empty",
                attempt = self.job.head.attempt.as_str();
                ""
            );
            return false;
        }
        self.has_permit = true;
        true
    }

    /// Requests the rest of the stream from a target, which takes it on or not.
    async fn send(&mut self, slot: &sync::Arc<state::TargetSlot>) -> Option<serving::TargetCall> {
        let left = self.job.time_left(times::clocks::boot_now());
        // Counted in advance, as the caller may drop this future once the request was written.
        self.sends += 1;
        let mut stuck = slot.watch_stuck();
        let may_send = self.may_send();
        let sending = serving::TargetCall::send(&self.job, slot, self.after.as_deref(), left);
        let sent = tokio::select! {
            sent = sending => sent,
            Ok(()) = stuck.changed(), if may_send => {
                self.has_permit = false;
                self.is_held |= !self.job.may_leave_silent(slot);
                return None;
            }
        };
        match sent {
            Ok(call) if call.head.status.is_success() && call.answer.is_genuine => Some(call),
            Ok(call) => {
                log::info!(
                    event = "resume-refused",
                    attempt = self.job.head.attempt.as_str(),
                    target_vm:% = slot.vm,
                    status = call.head.status.as_u16();
                    ""
                );
                self.has_permit = false;
                None
            }
            Err(fault) => {
                let reported = self.job.report_fault(slot, &fault).await;
                log_failed(&self.job, slot, &format!("{fault:?}"));
                // Another node may take the stream on after one refused it.
                let is_refused = matches!(fault, serving::SendFault::Refused(_));
                self.is_held |= reported.is_err() && !is_refused;
                if fault.may_have_run() {
                    self.has_permit = false;
                } else {
                    self.sends -= 1;
                }
                None
            }
        }
    }
}

fn log_failed<P>(job: &serving::RequestJob<P>, slot: &state::TargetSlot, fault: &str) {
    log::info!(
        event = "resume-failed",
        attempt = job.head.attempt.as_str(),
        fingerprint:% = job.fingerprint,
        target_vm:% = slot.vm,
        born:% = slot.born,
        fault = fault;
        ""
    );
}
