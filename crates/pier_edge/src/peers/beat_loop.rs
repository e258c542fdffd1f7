//! Sends and receives beats.

use std::{sync, time};

use anyhow::Context as _;
use pier_fleet::{dispatch, stalls};
use pier_types::times;
use tokio::net::UdpSocket;

use crate::{links, peers, records, state};

/// Time between two beats with few nodes: a load is at most this old elsewhere, which is less than
/// two passes of an engine.
const BEAT_TIME: time::Duration = time::Duration::from_millis(100);

/// Nodes that are told each beat; with more, beats are rarer by as much, so that a node's cost
/// does not grow with the square of the nodes.
const FULL_RATE_PEERS: usize = 12;

/// Time between two words of a steward on the store.
const RELAY_TIME: time::Duration = time::Duration::from_millis(150);

/// Greatest datagram.
const DATAGRAM_SIZE: usize = 65_536;

/// How long a stuck target gets nothing new.
const STUCK_TIME: time::Duration = time::Duration::from_secs(2);

/// Starts to exchange beats.
///
/// # Errors
///
/// Fails when the port can not be bound.
pub(crate) async fn spawn<P: links::FleetPlatform>(
    state: state::EdgeState<P>,
) -> anyhow::Result<()> {
    let address = state.settings().peers;
    let socket = UdpSocket::bind(address).await;
    let socket = sync::Arc::new(socket.with_context(|| format!("binding {address}"))?);
    tokio::spawn(receive(state.clone(), sync::Arc::clone(&socket)));
    tokio::spawn(relay(state.clone(), sync::Arc::clone(&socket)));
    tokio::spawn(send(state, socket));
    Ok(())
}

async fn receive<P: links::FleetPlatform>(
    state: state::EdgeState<P>,
    socket: sync::Arc<UdpSocket>,
) {
    let keeper = records::RecordKeeper::new(state.clone());
    let mut buffer = vec![0; DATAGRAM_SIZE];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(event = "beat-receive-failed", cause:% = error; "");
                tokio::time::sleep(BEAT_TIME).await;
                continue;
            }
        };
        let now = times::clocks::boot_now();
        match postcard::from_bytes::<peers::PeerMessage>(&buffer[..length]) {
            Ok(peers::PeerMessage::Beat(beat)) => {
                state.with_peers(|peers| peers.hear(beat, from, now));
            }
            Ok(peers::PeerMessage::Relay(relay)) => keeper.apply_relay(relay, now),
            Err(error) => {
                state.metrics().count_bad_beat();
                log::debug!(event = "beat-unreadable", from:% = from, cause:% = error; "");
            }
        }
    }
}

async fn send<P: links::FleetPlatform>(state: state::EdgeState<P>, socket: sync::Arc<UdpSocket>) {
    let mut number = 0;
    let mut retiring_before = std::collections::BTreeSet::new();
    loop {
        let now = times::clocks::boot_now();
        number += 1;
        let stuck = judge_stalls(&state, now);
        let (addresses, loads, retiring) = state.with_peers(|peers| {
            peers.expire(now);
            (peers.addresses(), peers.loads(now), peers.retiring(now))
        });
        let mut own_loads = Vec::new();
        for slot in state.slots() {
            let (running, waiting, prompt) = loads.get(&slot.vm).copied().unwrap_or((0, 0, 0));
            slot.gauge.set_heard(running, waiting, prompt);
            if slot.gauge.own_in_flight() > 0 {
                own_loads.push(peers::LoadWord {
                    vm: slot.vm.clone(),
                    running: slot.gauge.own_running(),
                    waiting: slot.gauge.own_waiting(),
                    prompt: slot.gauge.own_waiting_prompt(),
                });
            }
        }
        if retiring != retiring_before {
            retiring_before = retiring;
            state.rebuild(now);
        }
        let beat = peers::PeerMessage::Beat(peers::NodeBeat {
            node: state.node().clone(),
            data_centre: state.settings().data_centre.clone(),
            number,
            document: state
                .document()
                .map(|document| document.version())
                .unwrap_or_default(),
            is_leaving: state.is_draining(),
            has_served: state.has_served(),
            loads: own_loads,
            stuck,
            retiring: state.own_retiring().into_iter().collect(),
        });
        send_all(&socket, &beat, &addresses).await;
        let rarer = addresses.len().div_ceil(FULL_RATE_PEERS).max(1);
        let rarer = u32::try_from(rarer).unwrap_or(u32::MAX);
        tokio::time::sleep(BEAT_TIME * rarer).await;
    }
}

/// Tells the nodes of this data centre what this node knows of the store, while it is the steward.
async fn relay<P: links::FleetPlatform>(state: state::EdgeState<P>, socket: sync::Arc<UdpSocket>) {
    loop {
        let now = times::clocks::boot_now();
        let place = &state.settings().data_centre;
        let is_steward = state.with_peers(|peers| peers.steward(place) == Some(state.node()));
        if is_steward && !state.is_draining() {
            let addresses = state.with_peers(|peers| peers.local_addresses(place, now));
            let beat = peers::PeerMessage::Relay(state.relay_beat(now));
            send_all(&socket, &beat, &addresses).await;
        }
        tokio::select! {
            () = state.relay_change() => {}
            () = tokio::time::sleep(RELAY_TIME) => {}
        }
    }
}

async fn send_all(
    socket: &UdpSocket,
    message: &peers::PeerMessage,
    addresses: &[std::net::SocketAddr],
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

/// Finds the targets that move nothing, and moves this node's requests away from them.
fn judge_stalls<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    now: times::BootTime,
) -> Vec<pier_types::ids::VmName> {
    let Some(document) = state.document() else {
        return Vec::new();
    };
    let judge = stalls::StallJudge::default();
    let mut stuck = Vec::new();
    for slot in state.slots() {
        let Some(model) = &slot.model else { continue };
        let engines = document
            .services()
            .values()
            .filter_map(|service| service.engine.as_ref());
        let mut specs = engines.filter_map(|engine| Some((engine, engine.model(model)?.pace)));
        let Some((engine, pace)) = specs.next() else {
            continue;
        };
        if slot.gauge.is_stuck(now) {
            stuck.push(slot.vm.clone());
            continue;
        }
        slot.restore();
        let load = slot.facts(Some((engine.as_ref(), pace)), now);
        let passes = dispatch::PassModel::new(engine, pace);
        let pass_time = passes
            .pass_time(load.running, load.waiting_prompt)
            .mul_f64(load.slowness);
        let facts = stalls::ProgressFacts {
            in_flight: slot.gauge.own_in_flight(),
            running: slot.gauge.own_running(),
            last_progress: slot.gauge.last_progress(),
            pass_time,
            first_event: passes.first_event(&load, 0),
        };
        if judge.is_stuck(&facts, now) {
            log::warn!(
                event = "target-stuck",
                target_vm:% = slot.vm,
                generation:% = slot.generation,
                silent_ms = millis(now.since(facts.last_progress)),
                pass_ms = millis(pass_time),
                running = facts.running,
                in_flight = facts.in_flight;
                ""
            );
            state.metrics().count_stuck();
            slot.gauge.set_stuck(now.after(STUCK_TIME));
            slot.break_off();
            stuck.push(slot.vm.clone());
        }
    }
    stuck
}

fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
