//! Tells other data centres about the nodes of this one.

use std::{sync, time};

use pier_types::times;
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use tokio::net::UdpSocket;

use super::beat_loop;
use crate::{links, peers, state};

/// Interval between two summaries to another data centre.
const SUMMARY_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Most nodes in one summary, which keeps its datagram below the size at which networks split it.
const MAX_SUMMARY_NODES: usize = 12;

/// Sends summaries while this node is its data centre's delegate.
///
/// Each goes to one node of the other data centre, another one each time, which forwards it there.
pub(super) async fn run<P: links::FleetPlatform>(
    state: state::EdgeState<P>,
    socket: sync::Arc<UdpSocket>,
) {
    let own = &state.settings().data_centre;
    let mut was_delegate = false;
    loop {
        tokio::time::sleep(SUMMARY_INTERVAL).await;
        let now = times::clocks::boot_now();
        let is_due = state.with_peers(|peers| peers.is_large() && peers.is_delegate(own, now));
        let is_delegate = is_due && !state.is_draining();
        if is_delegate != was_delegate {
            log::info!(event = "delegate-changed", is_delegate = is_delegate; "");
            was_delegate = is_delegate;
        }
        if !is_delegate {
            continue;
        }
        let mut heard = state.with_peers(|peers| peers.heard_beats(own, now));
        heard.push(peers::HeardBeat {
            address: state.settings().peers,
            format: peers::PeerFormat::CURRENT,
            age: time::Duration::ZERO,
            beat: beat_loop::summary_beat(&state, now),
        });
        let mut summaries = peers::CentreSummary::split(own, &heard, MAX_SUMMARY_NODES);
        // A narrow link of the receiver drops the last datagrams that it forwards.
        summaries.shuffle(&mut rand::rng());
        let others = state.settings().data_centres.iter();
        for other in others.filter(|other| *other != own) {
            let receivers = state.with_peers(|peers| peers.summary_receivers(other, now));
            let Some(receiver) = receivers.choose(&mut rand::rng()).copied() else {
                continue;
            };
            for summary in &summaries {
                let message = peers::PeerMessage::Summary(summary.clone());
                beat_loop::send_all(&state, &socket, message, &[receiver]).await;
            }
        }
    }
}

/// Applies a summary, and forwards it to the nodes of this data centre if the sender asks for it.
pub(super) async fn receive<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    socket: &UdpSocket,
    summary: peers::CentreSummary,
    now: times::BootTime,
) {
    let own = &state.settings().data_centre;
    if summary.data_centre == *own {
        return;
    }
    if summary.is_to_forward {
        let receivers = state.with_peers(|peers| peers.summary_followers(own, now));
        let forwarded = peers::CentreSummary {
            is_to_forward: false,
            ..summary.clone()
        };
        let message = peers::PeerMessage::Summary(forwarded);
        beat_loop::send_all(state, socket, message, &receivers).await;
    }
    state.with_peers(|peers| {
        for heard in summary.into_beats() {
            peers.record_summarised(heard, now);
        }
    });
}
