//! Calls on the lease object.

use std::time;

use pier_control::leases;
use pier_platform::objects;
use pier_types::epochs;

use crate::{control, handle};

/// How long one watch of the lease waits for a change.
const WATCH_WAIT: time::Duration = time::Duration::from_secs(20);

/// Delay before the next watch after one that failed or found no object.
const WATCH_RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// Starts a call in a new task and sends its result to the loop.
pub(super) fn start(
    handle: &handle::NodeHandle,
    events: &control::EventSender,
    action: leases::LeaseAction,
) {
    let (handle, events) = (handle.clone(), events.clone());
    tokio::spawn(async move {
        let key = lease_key(&handle);
        let event = match action {
            leases::LeaseAction::Read => read_event(handle.objects().read(&key).await),
            leases::LeaseAction::Write { record, if_version } => {
                let nonce = record.nonce;
                let value = record.encode().into();
                let result = handle.objects().write(&key, if_version, value).await;
                let outcome = write_outcome(&result);
                leases::LeaseEvent::WriteDone { nonce, outcome }
            }
        };
        // Sending fails only when the node is shutting down and the loop has ended.
        let _ended = events.send(control::ControlEvent::Lease(event));
    });
}

/// Watches the lease object until the loop ends.
pub(super) fn watch(handle: &handle::NodeHandle, events: &control::EventSender) {
    let (handle, events) = (handle.clone(), events.clone());
    tokio::spawn(async move {
        let key = lease_key(&handle);
        let mut after = epochs::ObjectVersion::default();
        while !events.is_closed() {
            let result = handle.objects().watch(&key, after, WATCH_WAIT).await;
            let reading = match result {
                objects::WatchResult::Changed { version, bytes } => {
                    after = version;
                    parse(version, &bytes)
                }
                objects::WatchResult::Unchanged => continue,
                objects::WatchResult::Absent => {
                    after = epochs::ObjectVersion::default();
                    tokio::time::sleep(WATCH_RETRY_DELAY).await;
                    leases::LeaseReading::Absent
                }
                objects::WatchResult::Unavailable { .. } => {
                    tokio::time::sleep(WATCH_RETRY_DELAY).await;
                    continue;
                }
            };
            let event = leases::LeaseEvent::WatchChanged(reading);
            let _ended = events.send(control::ControlEvent::Lease(event));
        }
    });
}

fn lease_key(handle: &handle::NodeHandle) -> String {
    format!("lease/{}", handle.settings().data_centre)
}

fn read_event(result: objects::ReadResult) -> leases::LeaseEvent {
    match result {
        objects::ReadResult::Found { version, bytes } => {
            leases::LeaseEvent::ReadDone(parse(version, &bytes))
        }
        objects::ReadResult::Absent => leases::LeaseEvent::ReadDone(leases::LeaseReading::Absent),
        objects::ReadResult::Unavailable { .. } => leases::LeaseEvent::ReadFailed,
    }
}

/// Parses a record. One that does not parse is logged as an error and is not overwritten.
fn parse(version: epochs::ObjectVersion, bytes: &[u8]) -> leases::LeaseReading {
    leases::LeaseReading::parse(version, bytes).unwrap_or_else(|error| {
        log::error!(event = "lease-unreadable", version:% = version, cause:% = error; "");
        leases::LeaseReading::Malformed { version }
    })
}

/// Returns what is known about the effect of a write. One that never reached the platform counts as
/// a conflict: it has no effect, and the object is read again.
fn write_outcome(result: &objects::WriteResult) -> leases::WriteOutcome {
    match result {
        objects::WriteResult::Written(version) => leases::WriteOutcome::Stored(*version),
        objects::WriteResult::Conflict(_) | objects::WriteResult::Unreached { .. } => {
            leases::WriteOutcome::Conflict
        }
        objects::WriteResult::Unsettled { .. } => leases::WriteOutcome::Lost,
    }
}
