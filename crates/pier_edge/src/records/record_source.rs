//! Where a loop reads its records: from the store, or from the steward.

use std::time;

use pier_fleet::stewards;
use pier_types::times;

use crate::{links, state};

/// How long a watch waits for changes; socket time-outs detect a silent connection.
const WATCH_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// How long a steward's watch of the document waits in a large fleet, where the nodes of its data
/// centre rely on it.
const RELAYED_DOCUMENT_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// How long a watch of the document waits: longer, as the heartbeats of other nodes carry its
/// version too.
const DOCUMENT_WATCH_TIMEOUT: time::Duration = time::Duration::from_secs(25);

/// How long a steward's watch of the registrations waits. It is short because the age of the last
/// answer shows the nodes of its data centre whether the steward still reaches the store.
pub(crate) const RELAY_WATCH_TIMEOUT: time::Duration = time::Duration::from_millis(900);

/// Interval between two checks of whether the steward's relay messages can still be followed.
pub(super) const FOLLOW_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Waits until a read of the store is no longer what its loop needs: the steward can be followed
/// again, or the node has become a steward whose watches are shorter. `is_listed` is whether the
/// records have been read once, `timeout` how long a watch waits that has begun.
pub(super) async fn wait_for_source<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    kind: links::RecordKind,
    is_listed: bool,
    timeout: time::Duration,
) {
    loop {
        tokio::time::sleep(FOLLOW_INTERVAL).await;
        if can_rely(state, kind, is_listed) || watch_timeout(state, kind) < timeout {
            return;
        }
    }
}

/// Waits until a loop can rely on the steward again; `is_listed` is whether it needs no list first.
pub(super) async fn wait_for_steward<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    kind: links::RecordKind,
    is_listed: bool,
) {
    loop {
        tokio::time::sleep(FOLLOW_INTERVAL).await;
        if can_rely(state, kind, is_listed) {
            return;
        }
    }
}

fn can_rely<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    kind: links::RecordKind,
    is_listed: bool,
) -> bool {
    let now = times::clocks::boot_now();
    let can_follow = is_listed && follows_relay(state, kind, now);
    can_follow || snapshot_source(state, kind, now).is_some()
}

/// Returns the steward from which the records of a kind can be read, if there is one.
pub(super) fn snapshot_source<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    kind: links::RecordKind,
    now: times::BootTime,
) -> Option<state::SnapshotSource> {
    if kind == links::RecordKind::Nodes || is_own_steward(state) {
        return None;
    }
    state.snapshot_source(now)
}

/// Returns whether the steward's relay messages can be relied on. They bring no document, and no
/// nodes: of two that start at the same time one has to read the other's record, as neither sends
/// heartbeats to a node that it does not know.
pub(super) fn follows_relay<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    kind: links::RecordKind,
    now: times::BootTime,
) -> bool {
    let is_relayed = match kind {
        links::RecordKind::Document => false,
        links::RecordKind::Nodes => state.with_peers(|peers| peers.has_read_own()),
        links::RecordKind::Targets | links::RecordKind::OutOfService => true,
    };
    is_relayed && state.is_following(now)
}

/// Returns whether this node waits for a steward to read a kind of records from. The nodes' records
/// are read at once, as they show how large the fleet is; `running_for` is the time since the node
/// started, `is_read` whether it has read the records.
pub(super) fn waits_for_steward<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    kind: links::RecordKind,
    running_for: time::Duration,
    is_read: bool,
    now: times::BootTime,
) -> bool {
    if kind == links::RecordKind::Nodes || is_own_steward(state) {
        return false;
    }
    let facts = stewards::NewcomerFacts {
        running_for,
        nodes_read_for: state.start_up().nodes_read_for(now),
        is_large: state.with_peers(|peers| peers.is_large()),
        is_first_start: state.settings().is_first_start,
        is_read,
    };
    stewards::newcomer_step(&facts) == stewards::NewcomerStep::Wait
}

/// Returns whether this node is the steward of its data centre.
pub(super) fn is_own_steward<P: links::FleetPlatform>(state: &state::EdgeState<P>) -> bool {
    let own = &state.settings().data_centre;
    state.with_peers(|peers| peers.steward(own) == Some(state.node()))
}

/// Returns whether the document is served to the nodes of this data centre.
pub(super) fn serves_document<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    kind: links::RecordKind,
) -> bool {
    kind == links::RecordKind::Document
        && is_own_steward(state)
        && state.with_peers(|peers| peers.is_large())
}

/// Returns whether changes are relayed to the nodes of this data centre.
pub(super) fn is_relayed<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    kind: links::RecordKind,
) -> bool {
    kind == links::RecordKind::Targets && state.with_peers(|peers| peers.is_steward())
}

/// Returns how long a watch waits.
pub(super) fn watch_timeout<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    kind: links::RecordKind,
) -> time::Duration {
    if is_relayed(state, kind) {
        RELAY_WATCH_TIMEOUT
    } else if serves_document(state, kind) {
        RELAYED_DOCUMENT_TIMEOUT
    } else if kind == links::RecordKind::Document {
        DOCUMENT_WATCH_TIMEOUT
    } else {
        WATCH_TIMEOUT
    }
}
