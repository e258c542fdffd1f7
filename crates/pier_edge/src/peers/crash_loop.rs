//! Sends the marks of requests whose targets crashed.

use std::{net, sync, time};

use pier_types::times;
use rand::seq::IndexedRandom as _;
use tokio::net::UdpSocket;

use super::{beat_loop, broadcast};
use crate::{links, peers, state};

/// Most marks in one datagram.
const MAX_MARKS: usize = 16;

/// Most marks of parts in one datagram; a crash marks several parts of each request.
const MAX_PART_MARKS: usize = 32;

/// Interval between two datagrams with the same new marks.
const REPEAT_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Interval at which one other node gets some of all marks, which it may have missed.
const ROUND_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Sends new marks to all nodes at once, and the others to one node after another.
pub(super) async fn run<P: links::FleetPlatform>(
    state: state::EdgeState<P>,
    socket: sync::Arc<UdpSocket>,
) {
    loop {
        let pause = if state.crashes().has_new_marks() {
            REPEAT_INTERVAL
        } else {
            ROUND_INTERVAL
        };
        tokio::select! {
            () = state.crashes().wait_for_marks() => {}
            () = tokio::time::sleep(pause) => {}
        }
        let now = times::clocks::boot_now();
        let is_new = state.crashes().has_new_marks();
        let part_delta = state.crashes().part_delta(now, MAX_PART_MARKS);
        let delta = state.crashes().delta(now, MAX_MARKS);
        let parts = (!part_delta.marks.is_empty())
            .then_some(peers::BroadcastContent::PartCrashes(part_delta));
        let marks = (!delta.marks.is_empty()).then_some(peers::BroadcastContent::Crashes(delta));
        for content in parts.into_iter().chain(marks) {
            if is_new {
                broadcast::send(&state, &socket, content, Vec::new(), now).await;
            } else if let Some(receiver) = round_receiver(&state, now) {
                beat_loop::send_all(&state, &socket, content.into(), &[receiver]).await;
            }
        }
    }
}

/// Returns the node that receives some of all marks next. In a large fleet only the delegate of a data
/// centre sends them to other ones.
fn round_receiver<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    now: times::BootTime,
) -> Option<net::SocketAddr> {
    let own = &state.settings().data_centre;
    let receivers = state.with_peers(|peers| {
        if peers.is_large() && !peers.is_delegate(own, now) {
            peers.centre_addresses(own)
        } else {
            peers.addresses()
        }
    });
    receivers.choose(&mut rand::rng()).copied()
}
