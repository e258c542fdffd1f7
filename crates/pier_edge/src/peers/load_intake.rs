//! Applies the other nodes' loads.

use std::{net, time};

use pier_fleet::loads;
use pier_types::times;
use tokio::net::UdpSocket;

use super::beat_loop;
use crate::{links, peers, state};

/// How long a target counts as stuck after a digest reported it: a few digest intervals.
const REPORTED_STUCK_TIME: time::Duration = time::Duration::from_millis(300);

/// Sets the other nodes' load at each target: the sums of the hub's digest, or else those of the
/// heartbeats.
pub(super) fn apply_other_loads<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    now: times::BootTime,
) {
    let summed = state.with_loads(|loads| loads.follower.other_loads(state.load_tag(), now));
    let others = summed.unwrap_or_else(|| state.with_peers(|peers| peers.loads(now)));
    for slot in state.slots() {
        let load = others.get(&slot.vm).copied().unwrap_or_default();
        slot.gauge.set_remote_load(load);
    }
    state.record_centre_loads(now);
}

/// Passes a digest from another data centre on to the hub of this one, unless this node is the hub or
/// got it from a node of its own data centre.
pub(super) async fn pass_on<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    socket: &UdpSocket,
    digest: &loads::LoadDigest,
    from: net::SocketAddr,
) {
    let data_centre = &state.settings().data_centre;
    if digest.data_centre == *data_centre {
        return;
    }
    let hub = state.with_loads(|loads| loads.choice.passes_to(state.node()).cloned());
    let Some(hub) = hub else { return };
    let address = state.with_peers(|peers| {
        let is_local = peers.centre_addresses(data_centre).contains(&from);
        peers.address_of(&hub).filter(|_address| !is_local)
    });
    if let Some(address) = address {
        log::debug!(event = "digest-passed-on", from:% = digest.hub, hub:% = hub; "");
        let message = peers::PeerMessage::Digest(digest.clone());
        beat_loop::send_all(state, socket, message, &[address]).await;
    }
}

/// Applies a digest from the hub of this data centre or of another one.
pub(super) fn apply_digest<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    digest: loads::LoadDigest,
    now: times::BootTime,
) {
    let data_centre = &state.settings().data_centre;
    if digest.data_centre != *data_centre {
        state.with_loads(|loads| loads.hub.record_digest(digest, now));
        return;
    }
    let is_chosen = state.with_loads(|loads| {
        loads.choice.note_digest(&digest.hub, now);
        loads.choice.is_chosen(&digest.hub)
    });
    if !is_chosen {
        return;
    }
    for slot in state.slots() {
        if digest.stuck.contains(&slot.vm) {
            slot.gauge
                .set_reported_stuck(now.after(REPORTED_STUCK_TIME));
        }
    }
    state.with_loads(|loads| loads.follower.record_digest(digest, now));
    apply_other_loads(state, now);
}
