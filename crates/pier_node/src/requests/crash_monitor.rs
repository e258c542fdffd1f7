//! The task that maintains the crash history.

use std::{net, time};

use pier_request::quarantine;
use pier_types::{epochs, reports, times::clocks};

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
    let mut cause = None;
    for (delay, timeout) in REPORT_TRIES {
        tokio::time::sleep(delay).await;
        cause = find_loss_cause(&handle, address, incarnation, timeout).await;
        if cause != Some(quarantine::LossCause::Unreachable) {
            break;
        }
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

/// Returns why the target was lost, or `None` when its process is the same as before.
async fn find_loss_cause(
    handle: &handle::NodeHandle,
    address: net::SocketAddr,
    incarnation: Option<epochs::VmIncarnation>,
    timeout: time::Duration,
) -> Option<quarantine::LossCause> {
    let url = format!("http://{address}/report");
    let asking = handle.client().get(url).timeout(timeout).send();
    let answer = match asking.await {
        Ok(answer) => answer,
        Err(error) if error.is_timeout() => return Some(quarantine::LossCause::Unreachable),
        Err(_closed) => return Some(quarantine::LossCause::ProcessLost),
    };
    let report = answer.json::<reports::EngineReport>().await.ok();
    let reported = report.map(|report| report.incarnation);
    if reported.is_some() && reported == incarnation {
        return None;
    }
    Some(quarantine::LossCause::ProcessLost)
}
