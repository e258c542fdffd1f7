//! Brings news to every node of the fleet.

use std::net;

use pier_types::times;
use rand::seq::IndexedRandom as _;
use tokio::net::UdpSocket;

use super::beat_loop;
use crate::{links, peers, state};

/// Sends news to all nodes. In a large fleet one node of each other data centre gets it, which passes
/// it on there; each call draws another one, as datagrams may be lost.
pub(super) async fn send<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    socket: &UdpSocket,
    news: peers::SpreadNews,
    now: times::BootTime,
) {
    let (direct, spreaders) = receivers(state, now);
    if !spreaders.is_empty() {
        let message = peers::PeerMessage::Spread(news.clone());
        beat_loop::send_all(state, socket, message, &spreaders).await;
    }
    beat_loop::send_all(state, socket, news.into(), &direct).await;
}

/// Passes news on to the nodes of this data centre.
pub(super) async fn pass_on<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    socket: &UdpSocket,
    news: peers::SpreadNews,
) {
    let own = &state.settings().data_centre;
    let neighbours = state.with_peers(|peers| peers.centre_addresses(own));
    beat_loop::send_all(state, socket, news.into(), &neighbours).await;
}

/// Returns the addresses that get news directly, and those that pass it on.
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
        let mut spreaders = Vec::new();
        let centres = state.settings().data_centres.iter();
        for other in centres.filter(|other| *other != own) {
            let able = peers.summary_receivers(other, now);
            match able.choose(&mut rand::rng()) {
                Some(spreader) => spreaders.push(*spreader),
                None => direct.extend(peers.centre_addresses(other)),
            }
        }
        (direct, spreaders)
    })
}
