//! Sends marks of crashes and notices of leaving targets to every node of the fleet.

use std::net;

use pier_types::times;
use rand::seq::IndexedRandom as _;
use tokio::net::UdpSocket;

use super::beat_loop;
use crate::{links, peers, state};

/// Sends content and rates of targets to all nodes. In a large fleet one node of each other data centre receives it and
/// forwards it there; each call chooses another one, as datagrams may be lost.
pub(super) async fn send<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    socket: &UdpSocket,
    content: peers::BroadcastContent,
    limits: Vec<peers::LimitNotice>,
    now: times::BootTime,
) {
    let (direct, forwarders) = receivers(state, now);
    let extension = peers::MessageExtension::of_limits(limits);
    if !forwarders.is_empty() {
        let message = peers::PeerMessage::Broadcast(content.clone());
        let envelope = peers::PeerEnvelope::with_extension(message, extension.clone());
        beat_loop::send_envelope(state, socket, &envelope, &forwarders).await;
    }
    let envelope = peers::PeerEnvelope::with_extension(content.into(), extension);
    beat_loop::send_envelope(state, socket, &envelope, &direct).await;
}

/// Forwards content from another data centre to the nodes of this one.
pub(super) async fn forward<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    socket: &UdpSocket,
    content: peers::BroadcastContent,
    limits: Vec<peers::LimitNotice>,
) {
    let own = &state.settings().data_centre;
    let neighbours = state.with_peers(|peers| peers.centre_addresses(own));
    let extension = peers::MessageExtension::of_limits(limits);
    let envelope = peers::PeerEnvelope::with_extension(content.into(), extension);
    beat_loop::send_envelope(state, socket, &envelope, &neighbours).await;
}

/// Applies content that another node sent.
pub(super) fn apply<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    content: peers::BroadcastContent,
    now: times::BootTime,
) {
    match content {
        peers::BroadcastContent::Crashes(delta) => state.crashes().merge(&delta, now),
        peers::BroadcastContent::PartCrashes(delta) => state.crashes().merge_parts(&delta, now),
        peers::BroadcastContent::Leaving(notices) => {
            for target in notices {
                state.merge_leaving(&target.vm, target.born, now);
            }
        }
    }
}

/// Returns the addresses that receive content directly, and those that also forward it.
fn receivers<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    now: times::BootTime,
) -> (Vec<net::SocketAddr>, Vec<net::SocketAddr>) {
    let own = &state.settings().data_centre;
    state.with_peers(|peers| {
        if !peers.is_large() {
            return (peers.addresses(), Vec::new());
        }
        let mut direct = peers.centre_addresses(own);
        let mut forwarders = Vec::new();
        let centres = state.settings().data_centres.iter();
        for other in centres.filter(|other| *other != own) {
            let able = peers.summary_receivers(other, now);
            match able.choose(&mut rand::rng()) {
                Some(forwarder) => forwarders.push(*forwarder),
                None => direct.extend(peers.centre_addresses(other)),
            }
        }
        (direct, forwarders)
    })
}
