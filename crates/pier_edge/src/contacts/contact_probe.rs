//! Opens connections to targets to find out whether this node reaches any.

use std::{sync, time};

use futures_util::{StreamExt as _, stream};
use pier_types::times;
use rand::seq::{IteratorRandom as _, SliceRandom as _};

use crate::{daemon, links, state};

/// Interval between two probes of a service that this node does not reach.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Number of targets to which connections are opened at the same time to check a refused one.
const CHECKED_TARGETS: usize = 3;

/// Greatest number of targets to which connections are opened for such a check.
const MAX_CHECKED_TARGETS: usize = 12;

/// Time-out for such a check.
const CHECK_TIMEOUT: time::Duration = time::Duration::from_millis(350);

/// Starts the probes, which find the end of a time in which this node reaches no target.
pub(crate) fn spawn<P: links::FleetPlatform>(state: &state::EdgeState<P>) {
    let parts = state.clone();
    daemon::spawn_loop(state, "contacts", move || run(parts.clone()));
}

async fn run<P: links::FleetPlatform>(state: state::EdgeState<P>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        for service in state.cut_off_services() {
            let table = state.table();
            let Some(pool) = table.services.get(&service) else {
                // Nothing is sent to a service without targets.
                continue;
            };
            let probed = pool.slots().choose(&mut rand::rng()).cloned();
            if connects_to_any(probed.into_iter().collect()).await {
                state.record_reached(&service, times::clocks::boot_now());
            }
        }
    }
}

/// Returns whether this node reaches a target beside the one that refused a connection, so that the
/// refusal shows the end of that target's process; also if there is no other one.
pub(crate) async fn reaches_another<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    refused: &state::TargetSlot,
) -> bool {
    let table = state.table();
    let slots = table.services.values().flat_map(state::ServicePool::slots);
    let mut others: Vec<_> = slots
        .filter(|slot| slot.vm != refused.vm)
        .cloned()
        .collect();
    others.shuffle(&mut rand::rng());
    others.truncate(MAX_CHECKED_TARGETS);
    let checking = async {
        for probed in others.chunks(CHECKED_TARGETS) {
            if connects_to_any(probed.to_vec()).await {
                return true;
            }
        }
        others.is_empty()
    };
    tokio::time::timeout(CHECK_TIMEOUT, checking)
        .await
        .unwrap_or(false)
}

/// Returns whether any of these targets accepts a connection, which is kept for requests.
async fn connects_to_any(slots: Vec<sync::Arc<state::TargetSlot>>) -> bool {
    let connecting = slots.into_iter().map(async |slot| {
        let connected = slot.connections.connect().await;
        connected.map(|connection| {
            let now = times::clocks::boot_now();
            slot.connections.give_back(connection, None, now);
        })
    });
    let mut connecting: stream::FuturesUnordered<_> = connecting.collect();
    while let Some(connected) = connecting.next().await {
        if connected.is_ok() {
            return true;
        }
    }
    false
}
