//! Sends the marks of requests whose targets crashed.

use std::{sync, time};

use pier_types::times;
use rand::seq::IndexedRandom as _;
use tokio::net::UdpSocket;

use super::beat_loop;
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
        let mut receivers = state.with_peers(|peers| peers.addresses());
        if !state.crashes().has_new_marks() {
            let receiver = receivers.choose(&mut rand::rng()).copied();
            receivers = receiver.into_iter().collect();
        }
        let now = times::clocks::boot_now();
        let part_delta = state.crashes().part_delta(now, MAX_PART_MARKS);
        if !part_delta.marks.is_empty() {
            let message = peers::PeerMessage::PartCrashes(part_delta);
            beat_loop::send_all(&state, &socket, message, &receivers).await;
        }
        let delta = state.crashes().delta(now, MAX_MARKS);
        if !delta.marks.is_empty() {
            let message = peers::PeerMessage::Crashes(delta);
            beat_loop::send_all(&state, &socket, message, &receivers).await;
        }
    }
}
