//! The task that owns the ledger of crashes.

use std::{net, time};

use pier_request::quarantine;
use pier_types::{epochs, reports, times::clocks};

use crate::{handle, requests};

/// Time between two looks for crashes that expired.
const EXPIRE_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Time that a process gets to be gone, before it is asked.
const DEATH_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Bound on the answer of a target that may have crashed.
const REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// The owner of the ledger.
#[derive(Debug)]
pub(super) struct CrashWatch;

impl CrashWatch {
    /// Starts the task; it ends with the runtime.
    pub(super) fn spawn(handle: handle::NodeHandle) {
        let Some(mut news) = handle.requests().take_crash_news() else {
            return;
        };
        tokio::spawn(async move {
            let mut ticks = tokio::time::interval(EXPIRE_PERIOD);
            loop {
                tokio::select! {
                    news = news.recv() => match news {
                        Some(news) => take(&handle, news),
                        None => return,
                    },
                    _tick = ticks.tick() => {
                        let now = clocks::boot_now();
                        handle.requests().change_crashes(|ledger| ledger.expire(now));
                    }
                }
            }
        });
    }
}

fn take(handle: &handle::NodeHandle, news: requests::CrashNews) {
    match news {
        requests::CrashNews::Completed(fingerprint) => {
            let state = handle.requests();
            state.change_crashes(|ledger| ledger.record_completion(fingerprint));
        }
        died @ requests::CrashNews::Died { .. } => {
            tokio::spawn(judge(handle.clone(), died));
        }
    }
}

/// Finds out whether a target's process was lost, and marks the request if so.
async fn judge(handle: handle::NodeHandle, news: requests::CrashNews) {
    let requests::CrashNews::Died {
        target,
        generation,
        fingerprint,
        suspects,
        address,
        incarnation,
    } = news
    else {
        return;
    };
    tokio::time::sleep(DEATH_PAUSE).await;
    let cause = cause_of(&handle, address, incarnation).await;
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
    handle.requests().change_crashes(|ledger| {
        ledger.record_loss(&target, generation, cause, &[fingerprint], suspects, now);
    });
}

/// Returns why a connection was lost; nothing when the process is the same as before.
async fn cause_of(
    handle: &handle::NodeHandle,
    address: net::SocketAddr,
    incarnation: Option<epochs::VmIncarnation>,
) -> Option<quarantine::LossCause> {
    let url = format!("http://{address}/report");
    let asking = handle.client().get(url).timeout(REPORT_TIMEOUT).send();
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
