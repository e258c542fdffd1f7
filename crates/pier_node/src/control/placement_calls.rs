//! Calls on the placement object.

use std::time;

use pier_control::placements;
use pier_platform::objects;
use pier_types::epochs;

use crate::{control, handle};

/// How long a watch of the placement waits.
const WATCH_WAIT: time::Duration = time::Duration::from_secs(20);

/// Pause after a watch that told nothing new.
const WATCH_PAUSE: time::Duration = time::Duration::from_secs(1);

/// Writes a placement in a task of its own and reports how it ended.
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

/// Reads the placement in a task of its own.
pub(super) fn read(handle: &handle::NodeHandle, events: &control::EventSender) {
    let (handle, events) = (handle.clone(), events.clone());
    tokio::spawn(async move {
        let result = handle.objects().read(&placement_key(&handle)).await;
        let _ended = events.send(control::ControlEvent::PlacementSeen(result));
    });
}

/// Watches the placement until the loop ends.
pub(super) fn watch(handle: &handle::NodeHandle, events: &control::EventSender) {
    let (handle, events) = (handle.clone(), events.clone());
    tokio::spawn(async move {
        let key = placement_key(&handle);
        let mut after = epochs::ObjectVersion::default();
        while !events.is_closed() {
            let result = handle.objects().watch(&key, after, WATCH_WAIT).await;
            let seen = match result {
                objects::WatchResult::Changed { version, bytes } => {
                    after = version;
                    objects::ReadResult::Found { version, bytes }
                }
                objects::WatchResult::Unchanged => continue,
                objects::WatchResult::Absent => {
                    after = epochs::ObjectVersion::default();
                    tokio::time::sleep(WATCH_PAUSE).await;
                    objects::ReadResult::Absent
                }
                objects::WatchResult::Away { reason } => {
                    tokio::time::sleep(WATCH_PAUSE).await;
                    objects::ReadResult::Away { reason }
                }
            };
            let _ended = events.send(control::ControlEvent::PlacementSeen(seen));
        }
    });
}

fn placement_key(handle: &handle::NodeHandle) -> String {
    format!("placement/{}", handle.settings().data_centre)
}
