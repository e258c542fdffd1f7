//! Notices of leaving targets and of targets' rates that are on their way to the other nodes.

use std::{collections, sync, time};

use pier_fleet::budgets;
use pier_types::{epochs, ids, times};
use tokio::{net::UdpSocket, sync::Notify};

use super::broadcast;
use crate::{links, peers, state};

/// How often each notice is sent, since datagrams may be lost.
const NOTICE_SENDS: u8 = 3;

/// Interval between these sends.
const NOTICE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Most notices in one datagram.
const MAX_NOTICES: usize = 64;

/// A rate that a target stated in an answer to this node.
#[derive(Debug, Clone)]
pub(crate) struct StatedLimit {
    pub vm: ids::VmName,
    pub born: epochs::VmIncarnation,
    pub stated: budgets::StatedRate,
}

#[derive(Debug, Clone)]
enum TargetNews {
    Leaving(peers::LeavingTarget),
    Limit(StatedLimit),
}

/// Keeps this node's own notices until they were sent often enough.
#[derive(Debug, Default)]
pub(crate) struct NoticeOutbox {
    waiting: sync::Mutex<collections::VecDeque<(TargetNews, u8)>>,
    added: Notify,
}

impl NoticeOutbox {
    /// Adds a notice of a leaving target.
    pub(crate) fn add(&self, target: peers::LeavingTarget) {
        self.push(TargetNews::Leaving(target), NOTICE_SENDS);
    }

    /// Adds a notice of a target's rate, which is sent once if it only repeats what is known.
    pub(crate) fn add_limit(&self, limit: StatedLimit, is_new: bool) {
        let sends = if is_new { NOTICE_SENDS } else { 1 };
        self.push(TargetNews::Limit(limit), sends);
    }

    fn push(&self, news: TargetNews, sends: u8) {
        state::lock(&self.waiting).push_back((news, sends));
        self.added.notify_one();
    }

    /// Returns the notices of the next datagram.
    fn next_batch(
        &self,
        now: times::BootTime,
    ) -> (Vec<peers::LeavingTarget>, Vec<peers::LimitNotice>) {
        let mut waiting = state::lock(&self.waiting);
        let count = waiting.len().min(MAX_NOTICES);
        let (mut leaving, mut limits) = (Vec::new(), Vec::new());
        for (news, sends) in waiting.drain(..count).collect::<Vec<_>>() {
            match &news {
                TargetNews::Leaving(target) => leaving.push(target.clone()),
                TargetNews::Limit(limit) => limits.push(limit.notice(now)),
            }
            if sends > 1 {
                waiting.push_back((news, sends - 1));
            }
        }
        (leaving, limits)
    }
}

impl StatedLimit {
    fn notice(&self, now: times::BootTime) -> peers::LimitNotice {
        let age = now.since(self.stated.stated_at);
        peers::LimitNotice {
            vm: self.vm.clone(),
            born: self.born,
            rate: self.stated.rate,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

/// Sends notices to all nodes, a few times each.
pub(super) async fn run<P: links::FleetPlatform>(
    state: state::EdgeState<P>,
    socket: sync::Arc<UdpSocket>,
) {
    loop {
        let now = times::clocks::boot_now();
        let (leaving, limits) = state.notices().next_batch(now);
        if leaving.is_empty() && limits.is_empty() {
            state.notices().added.notified().await;
            continue;
        }
        let content = peers::BroadcastContent::Leaving(leaving);
        broadcast::send(&state, &socket, content, limits, now).await;
        tokio::time::sleep(NOTICE_INTERVAL).await;
    }
}
