//! Notices of leaving targets that are on their way to the other nodes.

use std::{collections, sync, time};

use pier_types::times;
use tokio::{net::UdpSocket, sync::Notify};

use super::broadcast;
use crate::{links, peers, state};

/// How often each notice is sent, since datagrams may be lost.
const NOTICE_SENDS: u8 = 3;

/// Interval between these sends.
const NOTICE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Most notices in one datagram.
const MAX_NOTICES: usize = 64;

/// Keeps this node's own notices until they were sent often enough.
#[derive(Debug, Default)]
pub(crate) struct NoticeOutbox {
    waiting: sync::Mutex<collections::VecDeque<(peers::LeavingTarget, u8)>>,
    added: Notify,
}

impl NoticeOutbox {
    /// Adds a notice.
    pub(crate) fn add(&self, target: peers::LeavingTarget) {
        state::lock(&self.waiting).push_back((target, NOTICE_SENDS));
        self.added.notify_one();
    }

    /// Returns the notices of the next datagram.
    fn next_batch(&self) -> Vec<peers::LeavingTarget> {
        let mut waiting = state::lock(&self.waiting);
        let count = waiting.len().min(MAX_NOTICES);
        let mut batch = Vec::with_capacity(count);
        for (target, sends) in waiting.drain(..count).collect::<Vec<_>>() {
            batch.push(target.clone());
            if sends > 1 {
                waiting.push_back((target, sends - 1));
            }
        }
        batch
    }
}

/// Sends notices to all nodes, a few times each.
pub(super) async fn run<P: links::FleetPlatform>(
    state: state::EdgeState<P>,
    socket: sync::Arc<UdpSocket>,
) {
    loop {
        let batch = state.notices().next_batch();
        if batch.is_empty() {
            state.notices().added.notified().await;
            continue;
        }
        let now = times::clocks::boot_now();
        broadcast::send(
            &state,
            &socket,
            peers::BroadcastContent::Leaving(batch),
            now,
        )
        .await;
        tokio::time::sleep(NOTICE_INTERVAL).await;
    }
}
