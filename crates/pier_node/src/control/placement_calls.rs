//! Calls on the placement object.

use std::time;

use pier_control::placements;
use pier_platform::objects;
use pier_types::epochs;

use crate::{control, handle};

/// How long one watch of the placement waits for a change.
const WATCH_WAIT: time::Duration = time::Duration::from_secs(20);

/// Delay before the next call after one that failed or found no object.
const READ_RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// Writes a placement in a new task and sends the result to the loop.
pub(super) fn write(
    handle: &handle::NodeHandle,
    events: &control::EventSender,
    placement: &placements::DataCentrePlacement,
    if_version: epochs::ObjectVersion,
) {
    let (handle, events) = (handle.clone(), events.clone());
    let value = placement.encode().into();
    tokio::spawn(async move {
        let key = placement_key(&handle);
        let result = handle.objects().write(&key, if_version, value).await;
        let _ended = events.send(control::ControlEvent::PlacementWritten(result));
    });
}

/// Reads the placement in a new task and sends the result to the loop.
pub(super) fn read(handle: &handle::NodeHandle, events: &control::EventSender) {
    let (handle, events) = (handle.clone(), events.clone());
    tokio::spawn(async move {
        let result = handle.objects().read(&placement_key(&handle)).await;
        let _ended = events.send(control::ControlEvent::PlacementRead(result));
    });
}

/// Follows the placement until the loop ends: reads it, then watches for later versions.
///
/// A watch does not report that an object is absent or was deleted, so a plain read follows each
/// watch that ended without a change.
pub(super) fn follow(handle: &handle::NodeHandle, events: &control::EventSender) {
    let (handle, events) = (handle.clone(), events.clone());
    tokio::spawn(async move {
        let key = placement_key(&handle);
        let mut after = None;
        while !events.is_closed() {
            let seen = match after {
                None => handle.objects().read(&key).await,
                Some(version) => watch(&handle, &key, version).await,
            };
            after = match &seen {
                objects::ReadResult::Found { version, .. } => Some(*version),
                objects::ReadResult::Absent => Some(epochs::ObjectVersion::default()),
                objects::ReadResult::Unavailable { .. } => {
                    tokio::time::sleep(READ_RETRY_DELAY).await;
                    after
                }
            };
            let _ended = events.send(control::ControlEvent::PlacementRead(seen));
        }
    });
}

/// Waits for a version above `after`; reads the object if the watch ends without a change.
async fn watch(
    handle: &handle::NodeHandle,
    key: &str,
    after: epochs::ObjectVersion,
) -> objects::ReadResult {
    match handle.objects().watch(key, after, WATCH_WAIT).await {
        objects::WatchResult::Changed { version, bytes } => {
            objects::ReadResult::Found { version, bytes }
        }
        objects::WatchResult::Unchanged => handle.objects().read(key).await,
        objects::WatchResult::Absent => {
            tokio::time::sleep(READ_RETRY_DELAY).await;
            objects::ReadResult::Absent
        }
        objects::WatchResult::Unavailable { reason } => objects::ReadResult::Unavailable { reason },
    }
}

fn placement_key(handle: &handle::NodeHandle) -> String {
    format!("placement/{}", handle.settings().data_centre)
}
