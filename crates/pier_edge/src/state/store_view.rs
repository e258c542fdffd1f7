//! What a node knows of the store, directly and through its data centre's steward.

use std::{sync::atomic, time};

use pier_fleet::stewards;
use pier_types::{epochs, times};

use crate::{links, peers, state};

/// Age of the store's last answer below which the node counts as reaching the store.
const STORE_REACHED_AGE: time::Duration = time::Duration::from_secs(1);

/// A steward that serves what it has read of the store.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SnapshotSource {
    /// `None` while the address of a steward that has just been elected is unknown.
    pub client: Option<peers::SnapshotClient>,
    /// Version of the document that the steward has in force.
    pub document: epochs::ConfigVersion,
}

impl<P: links::FleetPlatform> state::EdgeState<P> {
    /// Records that the store has answered.
    pub(crate) fn record_store_answer(&self, now: times::BootTime) {
        let cell = &self.shared.store_answered_at;
        cell.fetch_max(now.as_micros(), atomic::Ordering::Relaxed);
    }

    /// Returns how long ago the store last answered this node.
    pub(crate) fn store_age(&self, now: times::BootTime) -> time::Duration {
        let answered_at = self
            .shared
            .store_answered_at
            .load(atomic::Ordering::Relaxed);
        now.since(times::BootTime::from_micros(answered_at))
    }

    /// Returns how long ago the store last answered this node, or the steward whose relay messages it
    /// receives.
    pub(crate) fn knowledge_age(&self, now: times::BootTime) -> time::Duration {
        let own = self.store_age(now);
        let (_silence, relayed) = self.with_follower(|follower| follower.ages(now));
        relayed.map_or(own, |relayed| relayed.min(own))
    }

    /// Returns whether the store answered this node recently.
    pub(crate) fn reaches_store(&self, now: times::BootTime) -> bool {
        self.store_age(now) < STORE_REACHED_AGE
    }

    /// Returns whether this data centre's steward is alive but cannot reach the store, while this
    /// node can.
    pub(crate) fn is_steward_cut_off(&self, now: times::BootTime) -> bool {
        let data_centre = &self.settings().data_centre;
        let steward = self.with_peers(|peers| peers.steward(data_centre).cloned());
        let is_cut_off = self.with_follower(|follower| follower.is_cut_off(steward.as_ref(), now));
        is_cut_off && self.reaches_store(now)
    }

    pub(crate) fn with_relay_log<T>(&self, change: impl FnOnce(&mut peers::RelayLog) -> T) -> T {
        let value = change(&mut state::target_slot::lock(&self.shared.relay_log));
        self.shared.relay_changed.notify_waiters();
        value
    }

    /// Wakes the steward's relay, after something has changed that it tells.
    pub(crate) fn notify_relay_change(&self) {
        self.shared.relay_changed.notify_waiters();
    }

    pub(crate) async fn wait_for_relay_change(&self) {
        self.shared.relay_changed.notified().await;
    }

    pub(crate) fn with_follower<T>(
        &self,
        change: impl FnOnce(&mut peers::RelayFollower) -> T,
    ) -> T {
        change(&mut state::target_slot::lock(&self.shared.follower))
    }

    /// Returns whether this node follows the store through its steward instead of reading it.
    pub(crate) fn is_following(&self, now: times::BootTime) -> bool {
        let data_centre = &self.settings().data_centre;
        let is_steward = self.with_peers(|peers| peers.steward(data_centre) == Some(self.node()));
        let limits = self.follow_limits(now);
        !is_steward && self.with_follower(|follower| follower.is_following(limits, now))
    }

    /// Returns what others expect of this node while the store is away.
    pub(crate) fn reader_role(&self, now: times::BootTime) -> stewards::ReaderRole {
        if self.with_peers(|peers| peers.is_steward()) {
            return stewards::ReaderRole::Steward;
        }
        if self.is_first_reader(now) {
            return stewards::ReaderRole::FirstReader;
        }
        let (silence, _store_age) = self.with_follower(|follower| follower.ages(now));
        let longest = peers::FollowLimits::SHORT.silence;
        if silence.is_some_and(|silence| silence < longest) {
            stewards::ReaderRole::Follower
        } else {
            stewards::ReaderRole::Lone
        }
    }

    /// Returns how long this node relies on its steward now.
    fn follow_limits(&self, now: times::BootTime) -> peers::FollowLimits {
        if self.is_first_reader(now) {
            return peers::FollowLimits::SHORT;
        }
        let draw = f64::from(self.load_tag()) / f64::from(u32::MAX);
        peers::FollowLimits::patient(self.settings().bounds.leaving, draw)
    }

    /// Returns whether this node is among the first to read the store when its steward fails, as all
    /// nodes of small fleets are.
    pub(crate) fn is_first_reader(&self, now: times::BootTime) -> bool {
        let own = &self.settings().data_centre;
        self.with_peers(|peers| !peers.is_large() || peers.is_successor(own, now))
    }

    /// Returns the steward from which this node can read what it needs of the store, with the version
    /// of the document there; `None` in fleets of a few nodes, of which each reads the store.
    pub(crate) fn snapshot_source(&self, now: times::BootTime) -> Option<state::SnapshotSource> {
        let data_centre = &self.settings().data_centre;
        let (is_large, address) = self.with_peers(|peers| {
            let steward = peers.steward(data_centre);
            let address = steward.and_then(|steward| peers.snapshot_address(steward));
            (peers.is_large(), address)
        });
        if !is_large {
            return None;
        }
        let limits = self.follow_limits(now);
        let document = self.with_follower(|follower| follower.document(limits, now))?;
        let source = self.settings().peers.ip();
        Some(state::SnapshotSource {
            client: address.map(|address| peers::SnapshotClient::new(address, source)),
            document,
        })
    }

    pub(crate) fn notify_relay_gap(&self) {
        self.shared.relay_gap.notify_waiters();
    }

    /// Waits for a relay message that shows that this node missed changes and has to read the
    /// list.
    pub(crate) async fn wait_for_relay_gap(&self) {
        self.shared.relay_gap.notified().await;
    }

    /// Builds the message in which a steward tells its data centre's nodes about the store.
    pub(crate) fn relay_beat(&self, now: times::BootTime) -> peers::RelayBeat {
        let age = self.store_age(now);
        let mut log = state::target_slot::lock(&self.shared.relay_log);
        let (from, to, changes) = log.latest(now);
        drop(log);
        peers::RelayBeat {
            node: self.node().clone(),
            data_centre: self.settings().data_centre.clone(),
            store_age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            out_of_service: self.out_of_service().iter().cloned().collect(),
            stewards: self.with_peers(|peers| peers.stewards()),
            from,
            to,
            changes,
        }
    }
}
