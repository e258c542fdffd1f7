//! One HTTP probe of a VM.

use std::{net, time};

use pier_limits::probes as decisions;
use pier_types::{ids, reports, times, times::clocks, vms};
use pier_wire::messages;
use tokio::sync::mpsc;

use crate::handle;

/// Time-out of one probe; shorter than the time between two probes.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Maximum length of a report in bytes.
const MAX_REPORT_BYTES: u64 = 16 * 1_024;

/// The outcome of one probe.
#[derive(Debug)]
pub struct ProbeOutcome {
    /// When the probe was sent.
    pub asked_at: times::BootTime,
    /// The result; its age is zero at `asked_at`.
    pub result: messages::ProbeResult,
}

/// Probes a VM in a separate task and sends the outcome to the channel.
pub(super) fn start(
    handle: &handle::NodeHandle,
    outcomes: &mpsc::UnboundedSender<ProbeOutcome>,
    entry: &vms::VmEntry,
) {
    let (handle, outcomes) = (handle.clone(), outcomes.clone());
    let vm = entry.name.clone();
    let address = entry.address;
    tokio::spawn(async move {
        let asked_at = clocks::boot_now();
        let outcome = fetch_report(handle.client(), address, PROBE_TIMEOUT).await;
        let result = messages::ProbeResult {
            latency: clocks::boot_now().since(asked_at),
            age: time::Duration::ZERO,
            outcome: outcome.and_then(|report| check(report, &vm)),
            vm,
        };
        // The receiver is dropped only when the node stops.
        let _ended = outcomes.send(ProbeOutcome { asked_at, result });
    });
}

/// Asks a VM for its report, which runs nothing there.
///
/// # Errors
///
/// Fails when no readable report arrives within the time-out.
pub(crate) async fn fetch_report(
    client: &reqwest::Client,
    address: net::SocketAddr,
    timeout: time::Duration,
) -> Result<reports::EngineReport, messages::ProbeFailure> {
    let url = format!("http://{address}/report");
    let call = client.get(url).timeout(timeout).send();
    let answer = call.await.map_err(|error| failure_of(&error))?;
    let is_too_large = answer
        .content_length()
        .is_some_and(|length| length > MAX_REPORT_BYTES);
    if is_too_large || !answer.status().is_success() {
        return Err(messages::ProbeFailure::Garbled);
    }
    let report = answer.json().await;
    report.map_err(|error| failure_of(&error))
}

/// Classifies an error of the HTTP client.
///
/// A refused connection shows that the VM's port is closed; other connection errors may be network
/// faults.
fn failure_of(error: &reqwest::Error) -> messages::ProbeFailure {
    if error.is_timeout() {
        return messages::ProbeFailure::Silent;
    }
    if error.is_decode() {
        return messages::ProbeFailure::Garbled;
    }
    if error.is_connect() && is_refused(error) {
        return messages::ProbeFailure::Refused;
    }
    messages::ProbeFailure::Silent
}

fn is_refused(error: &reqwest::Error) -> bool {
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        let io = cause.downcast_ref::<std::io::Error>();
        if io.is_some_and(|io| io.kind() == std::io::ErrorKind::ConnectionRefused) {
            return true;
        }
        source = cause.source();
    }
    false
}

fn check(
    report: reports::EngineReport,
    vm: &ids::VmName,
) -> Result<reports::EngineReport, messages::ProbeFailure> {
    if report.vm == *vm {
        Ok(report)
    } else {
        Err(messages::ProbeFailure::Garbled)
    }
}

/// Logs a change found by a probe result.
pub(super) fn log_change(change: &decisions::EvidenceChange) {
    match change {
        decisions::EvidenceChange::Restarted {
            vm,
            earlier,
            present,
        } => {
            log::info!(
                event = "vm-returned",
                vm:% = vm,
                earlier:% = earlier,
                present:% = present;
                ""
            );
        }
        decisions::EvidenceChange::Resumed { vm } => {
            log::info!(event = "vm-resumed", vm:% = vm; "");
        }
    }
}
