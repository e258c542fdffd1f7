//! The task that maintains the crash history.

use std::{net, time};

use pier_request::quarantine;
use pier_types::{epochs, ids, reports, times, times::clocks};

use crate::{handle, requests};

/// Time between two removals of expired crashes.
const EXPIRE_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Delay and time-out of each request for the report of a target that closed a connection. A
/// process that is crashing may need a moment to end, and one that starts may be slow to answer.
const REPORT_TRIES: [(time::Duration, time::Duration); 3] = [
    (
        time::Duration::from_millis(20),
        time::Duration::from_millis(100),
    ),
    (
        time::Duration::from_millis(500),
        time::Duration::from_millis(500),
    ),
    (time::Duration::from_secs(2), time::Duration::from_secs(1)),
];

/// Receives crash events and updates the crash history.
#[derive(Debug)]
pub(super) struct CrashMonitor;

impl CrashMonitor {
    /// Starts the task; it ends with the runtime.
    pub(super) fn spawn(handle: handle::NodeHandle) {
        let Some(mut events) = handle.requests().take_crash_receiver() else {
            return;
        };
        tokio::spawn(async move {
            let mut ticks = tokio::time::interval(EXPIRE_PERIOD);
            loop {
                tokio::select! {
                    event = events.recv() => match event {
                        Some(event) => handle_event(&handle, event),
                        None => return,
                    },
                    _tick = ticks.tick() => {
                        let now = clocks::boot_now();
                        handle.requests().update_crashes(|history| history.expire(now));
                    }
                }
            }
        });
    }
}

fn handle_event(handle: &handle::NodeHandle, event: requests::CrashEvent) {
    match event {
        requests::CrashEvent::Completed(fingerprint) => {
            let state = handle.requests();
            state.update_crashes(|history| history.record_completion(fingerprint));
        }
        closed @ requests::CrashEvent::ConnectionClosed { .. } => {
            tokio::spawn(investigate(handle.clone(), closed));
        }
    }
}

/// Checks whether a target's process was lost, and records the loss against the request if so.
async fn investigate(handle: handle::NodeHandle, event: requests::CrashEvent) {
    let requests::CrashEvent::ConnectionClosed {
        target,
        generation,
        fingerprint,
        suspects,
        address,
        incarnation,
    } = event
    else {
        return;
    };
    let process = WatchedProcess {
        target: target.clone(),
        address,
        incarnation,
        closed_at: clocks::boot_now(),
    };
    let mut cause = None;
    for (delay, timeout) in REPORT_TRIES {
        tokio::time::sleep(delay).await;
        cause = process.find_loss_cause(&handle, timeout).await;
        if cause != Some(quarantine::LossCause::Unreachable) {
            break;
        }
    }
    if cause == Some(quarantine::LossCause::Unreachable) {
        cause = process.judge_unreachable(&handle).await;
    }
    log::warn!(
        event = "target-closed-connection",
        target:% = target,
        generation:% = generation,
        fingerprint:% = fingerprint,
        suspects = suspects,
        cause:? = cause;
        ""
    );
    let Some(cause) = cause else {
        return;
    };
    let now = clocks::boot_now();
    handle.requests().update_crashes(|history| {
        history.record_loss(&target, generation, cause, &[fingerprint], suspects, now);
    });
}

/// The process of a target that closed a connection.
#[derive(Debug, Clone)]
struct WatchedProcess {
    target: ids::TargetId,
    address: net::SocketAddr,
    incarnation: Option<epochs::VmIncarnation>,
    closed_at: times::BootTime,
}

/// The answer of a target to the question for its report.
enum ReportAnswer {
    /// The same process answers.
    Same,
    /// Another process answers.
    Other,
    /// The connection is refused or closed.
    Closed,
    /// No answer comes in time.
    Silent,
}

impl WatchedProcess {
    /// Returns why the target was lost, or `None` when its process is the same as before.
    ///
    /// A closed connection shows that the process ended only if this node reaches another target:
    /// else its own links may be cut.
    async fn find_loss_cause(
        &self,
        handle: &handle::NodeHandle,
        timeout: time::Duration,
    ) -> Option<quarantine::LossCause> {
        match self.ask(handle, timeout).await {
            ReportAnswer::Same => None,
            ReportAnswer::Other => Some(quarantine::LossCause::ProcessLost),
            ReportAnswer::Closed if self.is_seen_alive(handle) => None,
            ReportAnswer::Closed
                if requests::LinkMonitor::reaches_other(handle, self.address).await =>
            {
                Some(quarantine::LossCause::ProcessLost)
            }
            ReportAnswer::Silent | ReportAnswer::Closed => Some(quarantine::LossCause::Unreachable),
        }
    }

    /// Returns why a target was lost that this node did not reach, by what the other nodes see.
    async fn judge_unreachable(
        &self,
        handle: &handle::NodeHandle,
    ) -> Option<quarantine::LossCause> {
        if self.is_seen_alive(handle) {
            return None;
        }
        let (_delay, timeout) = REPORT_TRIES[0];
        match self.ask(handle, timeout).await {
            ReportAnswer::Same => None,
            ReportAnswer::Other | ReportAnswer::Closed => Some(quarantine::LossCause::ProcessLost),
            ReportAnswer::Silent => Some(quarantine::LossCause::Unreachable),
        }
    }

    async fn ask(&self, handle: &handle::NodeHandle, timeout: time::Duration) -> ReportAnswer {
        let url = format!("http://{}/report", self.address);
        let asking = handle.client().get(url).timeout(timeout).send();
        let answer = match asking.await {
            Ok(answer) => answer,
            Err(error) if error.is_timeout() => return ReportAnswer::Silent,
            Err(_closed) => return ReportAnswer::Closed,
        };
        let report = answer.json::<reports::EngineReport>().await.ok();
        let reported = report.map(|report| report.incarnation);
        if reported.is_some() && reported == self.incarnation {
            return ReportAnswer::Same;
        }
        ReportAnswer::Other
    }

    /// Returns whether a node has seen the same process since it closed the connection.
    fn is_seen_alive(&self, handle: &handle::NodeHandle) -> bool {
        let vms = handle.vms();
        let has_name = |vm: &ids::VmName| match &self.target {
            ids::TargetId::Vm(name) => name == vm,
            ids::TargetId::Group(_group) => vms
                .get(vm)
                .is_some_and(|entry| entry.address == self.address),
        };
        let evidence = handle.evidence();
        let mut found = evidence.iter().filter(|(vm, _found)| has_name(vm));
        found.any(|(_vm, found)| {
            found.probed_at > self.closed_at && Some(found.report.incarnation) == self.incarnation
        })
    }
}
