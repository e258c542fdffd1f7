//! Sends and receives the datagrams between nodes.

use std::{future, net, pin, sync, time};

use anyhow::Context as _;
use pier_types::times;
use tokio::net::UdpSocket;

use super::{broadcast, crash_loop, limit_loop, notice_outbox, peer_groups, summary_loop};
use crate::{daemon, links, peers, records, state};

/// Interval between heartbeats in a small fleet. A load known to another node is at most this old,
/// which is less than two passes of an engine.
const BEAT_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Interval between two relay messages of a steward about the store.
const RELAY_INTERVAL: time::Duration = time::Duration::from_millis(150);

/// Greatest size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// What each loop needs.
type LoopParts<P> = (state::EdgeState<P>, sync::Arc<UdpSocket>);

/// One run of a loop; none is on the path of a request.
type LoopFuture = pin::Pin<Box<dyn future::Future<Output = ()> + Send>>;

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
    peers::snapshots::spawn_server(state.clone()).await?;
    let run_with = |name, run: fn(LoopParts<P>) -> LoopFuture| {
        let parts = (state.clone(), sync::Arc::clone(&socket));
        daemon::spawn_loop(&state, name, move || run(parts.clone()));
    };
    run_with("receive", |(state, socket)| {
        Box::pin(receive(state, socket))
    });
    run_with("relay", |(state, socket)| Box::pin(relay(state, socket)));
    run_with("loads", |(state, socket)| {
        Box::pin(peers::LoadLoop::new(state, socket).run())
    });
    run_with("crashes", |(state, socket)| {
        Box::pin(crash_loop::run(state, socket))
    });
    run_with("notices", |(state, socket)| {
        Box::pin(notice_outbox::run(state, socket))
    });
    run_with("limits", |(state, _socket)| {
        Box::pin(limit_loop::run(state))
    });
    run_with("summaries", |(state, socket)| {
        Box::pin(summary_loop::run(state, socket))
    });
    run_with("beats", |(state, socket)| Box::pin(send(state, socket)));
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
        match peers::PeerEnvelope::decode(&buffer[..length]) {
            Ok(envelope) => apply(&state, &socket, &applier, envelope, from, now).await,
            Err(fault) => {
                if let peers::MessageFault::UnknownKind(_) = fault {
                    state.metrics().count_unknown_message();
                } else {
                    state.metrics().count_bad_beat();
                }
                log::debug!(event = "beat-unreadable", from:% = from, cause:% = fault; "");
            }
        }
    }
}

async fn apply<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    socket: &UdpSocket,
    applier: &records::RecordApplier<P>,
    envelope: peers::PeerEnvelope,
    from: net::SocketAddr,
    now: times::BootTime,
) {
    let extension = envelope.extension;
    for notice in &extension.limits {
        state.merge_limit(notice, now);
    }
    match envelope.message {
        peers::PeerMessage::Beat(beat) => {
            let heard = peers::HeardBeat {
                address: from,
                format: envelope.format,
                age: time::Duration::ZERO,
                beat,
            };
            let is_local = heard.beat.data_centre == state.settings().data_centre;
            let cores = extension.summaries.cores;
            let is_first = state.with_peers(|peers| peers.record_beat(heard, cores, now));
            if is_first && is_local {
                greet(state, socket, from, now).await;
            }
        }
        peers::PeerMessage::Relay(relay) => {
            let (format, summaries) = (envelope.format, extension.summaries);
            let notes = peers::RelayNotes {
                document: format.has_summaries().then_some(summaries.document),
                outages: format.has_outages().then_some(extension.outages),
            };
            applier.apply_relay(relay, notes, now);
        }
        peers::PeerMessage::Report(report) => {
            state.with_loads(|loads| loads.hub.record_report(report, now));
        }
        peers::PeerMessage::Digest(digest) => {
            peers::load_intake::pass_on(state, socket, &digest, from).await;
            peers::load_intake::apply_digest(state, digest, now);
        }
        peers::PeerMessage::Crashes(delta) => {
            broadcast::apply(state, peers::BroadcastContent::Crashes(delta), now);
        }
        peers::PeerMessage::PartCrashes(delta) => {
            broadcast::apply(state, peers::BroadcastContent::PartCrashes(delta), now);
        }
        peers::PeerMessage::Leaving(notices) => {
            broadcast::apply(state, peers::BroadcastContent::Leaving(notices), now);
        }
        peers::PeerMessage::Broadcast(content) => {
            broadcast::forward(state, socket, content.clone(), extension.limits).await;
            broadcast::apply(state, content, now);
        }
        peers::PeerMessage::Summary(summary) => {
            summary_loop::receive(state, socket, summary, now).await;
        }
    }
}

/// Answers the first heartbeat of a node of this data centre, so that nodes that start know each
/// other, and their steward if one is alive, within a round trip.
async fn greet<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    socket: &UdpSocket,
    to: net::SocketAddr,
    now: times::BootTime,
) {
    let beat = beat_envelope(state, now);
    send_envelope(state, socket, &beat, &[to]).await;
    if is_relaying(state) {
        let relay = relay_envelope(state, now);
        send_envelope(state, socket, &relay, &[to]).await;
    }
}

async fn send<P: links::FleetPlatform>(state: state::EdgeState<P>, socket: sync::Arc<UdpSocket>) {
    let mut ticks = 0_u64;
    let mut contacts = peers::SilentContacts::default();
    loop {
        let now = times::clocks::boot_now();
        ticks += 1;
        let data_centre = &state.settings().data_centre;
        let (known, local, remote) = state.with_peers(|peers| {
            peers.expire(now);
            (
                peers.addresses(),
                peers.centre_addresses(data_centre),
                peers.direct_remote_addresses(data_centre),
            )
        });
        let (count, silent) = (known.len(), contacts.due(&known, now));
        state.update_forwards(now);
        let stride = beat_stride(local.len());
        let remote_stride = beat_stride(count).div_ceil(stride);
        let mut envelope = beat_envelope(&state, now);
        send_envelope(&state, &socket, &envelope, &local).await;
        send_envelope(&state, &socket, &envelope, &silent).await;
        if ticks.is_multiple_of(u64::from(remote_stride)) && !remote.is_empty() {
            if count > peer_groups::FULL_RATE_PEERS
                && let peers::PeerMessage::Beat(beat) = &mut envelope.message
            {
                // Other data centres get the loads in the digests of this one's hub.
                beat.loads.clear();
            }
            send_envelope(&state, &socket, &envelope, &remote).await;
        }
        tokio::select! {
            () = tokio::time::sleep(BEAT_INTERVAL * stride) => {}
            () = state.start_up().wait_for_nodes() => {}
        }
    }
}

fn beat_envelope<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    now: times::BootTime,
) -> peers::PeerEnvelope {
    let number = state.next_beat_number();
    let extension = peers::MessageExtension::of_beat(state.settings().cores);
    let message = peers::PeerMessage::Beat(local_beat(state, number, now));
    peers::PeerEnvelope::with_extension(message, extension)
}

/// Returns how many heartbeat intervals lie between two heartbeats to this many nodes.
fn beat_stride(nodes: usize) -> u32 {
    let stride = nodes.div_ceil(peer_groups::FULL_RATE_PEERS).max(1);
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

/// Returns this node's heartbeat for a summary, with the number of the last one sent.
pub(super) fn summary_beat<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    now: times::BootTime,
) -> peers::NodeBeat {
    let mut beat = local_beat(state, state.beat_number(), now);
    beat.loads.clear();
    beat
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
        if is_relaying(&state) {
            let data_centre = &state.settings().data_centre;
            let addresses = state.with_peers(|peers| peers.local_addresses(data_centre, now));
            let envelope = relay_envelope(&state, now);
            send_envelope(&state, &socket, &envelope, &addresses).await;
        }
        tokio::select! {
            () = state.wait_for_relay_change() => {}
            () = tokio::time::sleep(RELAY_INTERVAL) => {}
        }
    }
}

/// Returns whether this node relays the store to the nodes of its data centre.
fn is_relaying<P: links::FleetPlatform>(state: &state::EdgeState<P>) -> bool {
    let data_centre = &state.settings().data_centre;
    let is_steward = state.with_peers(|peers| peers.steward(data_centre) == Some(state.node()));
    is_steward && !state.is_draining()
}

fn relay_envelope<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    now: times::BootTime,
) -> peers::PeerEnvelope {
    let document = state.document();
    let document = document.map(|document| document.version());
    let return_age = state.with_registry(|registry| registry.store_return_age(now));
    let return_age_ms = return_age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
    let extension = peers::MessageExtension::of_relay(document.unwrap_or_default(), return_age_ms);
    let message = peers::PeerMessage::Relay(state.relay_beat(now));
    peers::PeerEnvelope::with_extension(message, extension)
}

/// Sends a message without an extension.
pub(super) async fn send_all<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    socket: &UdpSocket,
    message: peers::PeerMessage,
    addresses: &[net::SocketAddr],
) {
    let envelope = peers::PeerEnvelope::new(message);
    send_envelope(state, socket, &envelope, addresses).await;
}

pub(super) async fn send_envelope<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    socket: &UdpSocket,
    envelope: &peers::PeerEnvelope,
    addresses: &[net::SocketAddr],
) {
    if addresses.is_empty() {
        return;
    }
    let label = envelope.message.label();
    let bytes = match envelope.encode() {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(event = "beat-not-written", cause:% = error; "");
            return;
        }
    };
    for address in addresses {
        match socket.send_to(&bytes, address).await {
            Ok(_length) => state.metrics().count_message(label, bytes.len()),
            Err(error) => {
                state.metrics().count_message_failure(label);
                log::debug!(event = "beat-not-sent", to:% = address, cause:% = error; "");
            }
        }
    }
}
