//! Sends and receives the datagrams between nodes.

use std::{net, sync, time};

use anyhow::Context as _;
use pier_types::times;
use tokio::net::UdpSocket;

use super::{crash_loop, notice_outbox};
use crate::{links, peers, records, state};

/// Interval between heartbeats in a small fleet. A load known to another node is at most this old,
/// which is less than two passes of an engine.
const BEAT_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Greatest number of peers with which heartbeats are sent at every interval. With more of them
/// heartbeats are sent less often in proportion, so that a node's cost does not grow with the
/// fleet. The rate within the data centre depends on the peers there, the rate to other data
/// centres on all peers.
pub(super) const FULL_RATE_PEERS: usize = 12;

/// Interval between two relay messages of a steward about the store.
const RELAY_INTERVAL: time::Duration = time::Duration::from_millis(150);

/// Greatest size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Starts the exchange of datagrams with the other nodes.
///
/// # Errors
///
/// Fails when the port cannot be bound.
pub(crate) async fn spawn<P: links::FleetPlatform>(
    state: state::EdgeState<P>,
) -> anyhow::Result<()> {
    let address = state.settings().peers;
    let socket = UdpSocket::bind(address).await;
    let socket = sync::Arc::new(socket.with_context(|| format!("binding {address}"))?);
    tokio::spawn(receive(state.clone(), sync::Arc::clone(&socket)));
    tokio::spawn(relay(state.clone(), sync::Arc::clone(&socket)));
    let exchange = peers::LoadLoop::new(state.clone(), sync::Arc::clone(&socket));
    tokio::spawn(exchange.run());
    tokio::spawn(crash_loop::run(state.clone(), sync::Arc::clone(&socket)));
    tokio::spawn(notice_outbox::run(state.clone(), sync::Arc::clone(&socket)));
    tokio::spawn(send(state, socket));
    Ok(())
}

async fn receive<P: links::FleetPlatform>(
    state: state::EdgeState<P>,
    socket: sync::Arc<UdpSocket>,
) {
    let applier = records::RecordApplier::new(state.clone());
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(event = "beat-receive-failed", cause:% = error; "");
                tokio::time::sleep(BEAT_INTERVAL).await;
                continue;
            }
        };
        let now = times::clocks::boot_now();
        match postcard::from_bytes::<peers::PeerMessage>(&buffer[..length]) {
            Ok(peers::PeerMessage::Beat(beat)) => {
                state.with_peers(|peers| peers.record_beat(beat, from, now));
            }
            Ok(peers::PeerMessage::Relay(relay)) => applier.apply_relay(relay, now),
            Ok(peers::PeerMessage::Report(report)) => {
                state.with_loads(|loads| loads.hub.record_report(report, now));
            }
            Ok(peers::PeerMessage::Digest(digest)) => {
                peers::load_intake::apply_digest(&state, digest, now);
            }
            Ok(peers::PeerMessage::Crashes(delta)) => state.crashes().merge(&delta, now),
            Ok(peers::PeerMessage::PartCrashes(delta)) => {
                state.crashes().merge_parts(&delta, now);
            }
            Ok(peers::PeerMessage::Leaving(notices)) => {
                for target in notices {
                    state.merge_leaving(&target.vm, target.born, now);
                }
            }
            Err(error) => {
                state.metrics().count_bad_beat();
                log::debug!(event = "beat-unreadable", from:% = from, cause:% = error; "");
            }
        }
    }
}

async fn send<P: links::FleetPlatform>(state: state::EdgeState<P>, socket: sync::Arc<UdpSocket>) {
    let mut number = 0;
    loop {
        let now = times::clocks::boot_now();
        number += 1;
        let data_centre = &state.settings().data_centre;
        let (addresses, local) = state.with_peers(|peers| {
            peers.expire(now);
            (peers.addresses(), peers.local_addresses(data_centre, now))
        });
        state.update_forwards(now);
        let stride = beat_stride(local.len());
        let remote_stride = beat_stride(addresses.len()).div_ceil(stride);
        let mut beat = local_beat(&state, number, now);
        let is_remote = |address: &net::SocketAddr| !local.contains(address);
        let remote: Vec<_> = addresses.iter().copied().filter(is_remote).collect();
        send_all(&socket, &peers::PeerMessage::Beat(beat.clone()), &local).await;
        if number.is_multiple_of(u64::from(remote_stride)) {
            if addresses.len() > FULL_RATE_PEERS {
                // Other data centres get the loads in the digests of this one's hub.
                beat.loads.clear();
            }
            send_all(&socket, &peers::PeerMessage::Beat(beat), &remote).await;
        }
        tokio::time::sleep(BEAT_INTERVAL * stride).await;
    }
}

/// Returns how many heartbeat intervals lie between two heartbeats to this many nodes.
fn beat_stride(nodes: usize) -> u32 {
    let stride = nodes.div_ceil(FULL_RATE_PEERS).max(1);
    u32::try_from(stride).unwrap_or(u32::MAX)
}

fn local_beat<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    number: u64,
    now: times::BootTime,
) -> peers::NodeBeat {
    let slots = state.slots();
    let loaded = slots.iter().filter(|slot| slot.gauge.local_in_flight() > 0);
    let loads = loaded.map(|slot| (slot.vm.clone(), slot.gauge.local_load()));
    let stuck = slots.iter().filter(|slot| slot.gauge.is_stuck(now));
    let document = state.document().map(|document| document.version());
    peers::NodeBeat {
        node: state.node().clone(),
        data_centre: state.settings().data_centre.clone(),
        number,
        document: document.unwrap_or_default(),
        phase: local_phase(state, now),
        reaches_store: state.reaches_store(now),
        has_served: state.has_served(),
        loads: loads.collect(),
        stuck: stuck.map(|slot| slot.vm.clone()).collect(),
        retiring: state.local_retiring().into_iter().collect(),
        forwards: state.settings().forwards,
        reached: state.reached_services(),
    }
}

fn local_phase<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    now: times::BootTime,
) -> peers::NodePhase {
    if state.is_draining() {
        peers::NodePhase::Leaving
    } else if state.is_isolated(now) {
        peers::NodePhase::Isolated
    } else {
        peers::NodePhase::Serving
    }
}

/// Relays this node's view of the store to the nodes of its data centre while it is the steward.
async fn relay<P: links::FleetPlatform>(state: state::EdgeState<P>, socket: sync::Arc<UdpSocket>) {
    loop {
        let now = times::clocks::boot_now();
        let data_centre = &state.settings().data_centre;
        let is_steward = state.with_peers(|peers| peers.steward(data_centre) == Some(state.node()));
        if is_steward && !state.is_draining() {
            let addresses = state.with_peers(|peers| peers.local_addresses(data_centre, now));
            let beat = peers::PeerMessage::Relay(state.relay_beat(now));
            send_all(&socket, &beat, &addresses).await;
        }
        tokio::select! {
            () = state.wait_for_relay_change() => {}
            () = tokio::time::sleep(RELAY_INTERVAL) => {}
        }
    }
}

pub(super) async fn send_all(
    socket: &UdpSocket,
    message: &peers::PeerMessage,
    addresses: &[net::SocketAddr],
) {
    let bytes = match postcard::to_stdvec(message) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(event = "beat-not-written", cause:% = error; "");
            return;
        }
    };
    for address in addresses {
        if let Err(error) = socket.send_to(&bytes, address).await {
            log::debug!(event = "beat-not-sent", to:% = address, cause:% = error; "");
        }
    }
}
