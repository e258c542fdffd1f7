//! The task that exchanges datagrams with the other nodes.

use std::{collections, net, time};

use anyhow::Context as _;
use pier_limits::{members, probes as decisions};
use pier_types::{epochs, ids, times, times::clocks};
use pier_wire::{messages, seals};
use tokio::sync::mpsc;

use crate::{
    configs, handle, peers,
    peers::{crash_marks, list_call, share_driver},
    probes, requests,
};

/// Time between two checks of what is due.
const TICK_PERIOD: time::Duration = time::Duration::from_millis(100);

/// Time between two rounds of gossip, heartbeats and pulls.
const ROUND_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Time between two ticks above which the node counts as having been paused; it then drops all
/// evidence.
const PAUSE_LIMIT: time::Duration = time::Duration::from_secs(2);

/// The state of the loop.
#[derive(Debug)]
pub struct PeerLoop {
    pub(super) handle: handle::NodeHandle,
    socket: peers::PeerSocket,
    pub(super) configs: configs::ConfigInbox,
    sealer: seals::DatagramSealer,
    pub(super) opener: seals::DatagramOpener,
    pub(super) members: members::MemberTable,
    pub(super) pulls: decisions::PullPlan,
    pub(super) probes: probes::ProbeDriver,
    pub(super) shares: share_driver::ShareDriver,
    pub(super) lists: peers::ListDriver,
    pub(super) refusals: peers::DatagramRefusals,
    isolation_level: members::IsolationLevel,
    ticked_at: times::BootTime,
    round_at: times::BootTime,
}

impl PeerLoop {
    /// Starts the loop; it ends with the runtime.
    ///
    /// # Errors
    ///
    /// Fails when a loop is already running for this node.
    pub fn spawn(
        handle: handle::NodeHandle,
        socket: peers::PeerSocket,
        configs: configs::ConfigInbox,
    ) -> anyhow::Result<()> {
        let key = handle.settings().peer_key.clone();
        let (sender, outcomes) = mpsc::unbounded_channel();
        let (list_sender, readings) = mpsc::unbounded_channel();
        let local = local_entry(&handle, socket.address());
        let now = clocks::boot_now();
        let peer_loop = Self {
            sealer: seals::DatagramSealer::new(
                key.clone(),
                handle.name().clone(),
                handle.instance(),
            ),
            opener: seals::DatagramOpener::new(key, handle.instance()),
            members: members::MemberTable::new(local, members::MemberPolicy::default()),
            pulls: decisions::PullPlan::default(),
            probes: probes::ProbeDriver::new(handle.clone(), sender),
            shares: share_driver::ShareDriver::new(handle.clone()),
            lists: peers::ListDriver::new(handle.clone(), list_sender),
            refusals: peers::DatagramRefusals::default(),
            isolation_level: members::IsolationLevel::PlatformAway,
            ticked_at: now,
            round_at: times::BootTime::default(),
            handle,
            socket,
            configs,
        };
        let warmth = peer_loop.handle.requests().take_warmth_receiver();
        let warmth = warmth.context("a peer loop is already running")?;
        tokio::spawn(peer_loop.run(outcomes, readings, warmth));
        Ok(())
    }

    async fn run(
        mut self,
        mut outcomes: mpsc::UnboundedReceiver<probes::ProbeOutcome>,
        mut readings: mpsc::UnboundedReceiver<list_call::ListOutcome>,
        mut warmth: mpsc::Receiver<requests::WarmthEvidence>,
    ) {
        let mut ticks = tokio::time::interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let crashes = self.handle.clone();
        loop {
            tokio::select! {
                _tick = ticks.tick() => self.tick(clocks::boot_now()),
                received = self.socket.receive() => self.handle_datagram(received, clocks::boot_now()),
                Some(outcome) = outcomes.recv() => self.probes.record_outcome(outcome),
                Some(reading) = readings.recv() => {
                    self.lists.record_outcome(reading, clocks::boot_now());
                }
                () = crashes.requests().wait_for_crash() => self.send_crashes(clocks::boot_now()),
                Some(evidence) = warmth.recv() => {
                    self.shares.record_warmth(&evidence, clocks::boot_now());
                }
            }
        }
    }

    fn tick(&mut self, now: times::BootTime) {
        if now.since(self.ticked_at) > PAUSE_LIMIT {
            log::warn!(event = "node-paused", millis = now.since(self.ticked_at).as_millis(); "");
            self.probes.clear_evidence();
        }
        self.ticked_at = now;
        self.members.tick(now);
        self.lists.tick(now);
        let mut nodes = self.live_nodes(now);
        if now.since(self.round_at) >= ROUND_PERIOD {
            self.round_at = now;
            self.round(&nodes, now);
            self.send_crashes(now);
        } else if self.handle.requests().has_new_crashes() {
            self.send_crashes(now);
        }
        self.search_list(&nodes, now);
        nodes.insert(self.handle.name().clone());
        self.probes.tick(&nodes, now);
        self.evaluate_isolation(now);
        self.ask_for_shares(now);
        self.publish_peers(now);
        self.refusals.report(now);
    }

    /// Sends gossip, and a heartbeat and a pull to each node of the data centre.
    fn round(&mut self, nodes: &collections::BTreeSet<ids::NodeName>, now: times::BootTime) {
        self.members
            .beat(self.config_version(), self.handle.is_draining());
        let gossip = self.members.gossip(&self.handle.settings().seeds, now);
        for receiver in gossip.receivers {
            let entries = messages::PeerMessage::Members(gossip.entries.clone());
            self.send(receiver, vec![entries]);
        }
        let local = self.handle.name().clone();
        let expiring = self.probes.expiring_vms(now);
        let pulls = self
            .pulls
            .round(&local, self.probes.plan(), nodes, &expiring, now);
        let peers = self.members.live_peers(now);
        let mut list_pull = self.lists.pull(now);
        for (peer, pull) in pulls {
            if let Some(entry) = peers.get(&peer) {
                let heartbeat = self.members.heartbeat_message(&peer, now);
                let mut messages = vec![heartbeat, messages::PeerMessage::ProbePull(pull)];
                let list_pull = list_pull.take_if(|(reader, _)| *reader == peer);
                messages.extend(list_pull.map(|(_, pull)| messages::PeerMessage::ListPull(pull)));
                self.send(entry.address, messages);
            }
        }
    }

    /// Asks another node for the VM list while the lease holder does not deliver it.
    fn search_list(&mut self, nodes: &collections::BTreeSet<ids::NodeName>, now: times::BootTime) {
        let Some((node, pull)) = self.lists.search(nodes, now) else {
            return;
        };
        let address = self
            .members
            .live_peers(now)
            .get(&node)
            .map(|entry| entry.address);
        if let Some(address) = address {
            self.send(address, vec![messages::PeerMessage::ListPull(pull)]);
        }
    }

    /// Allows or stops new work, depending on whether this node reaches its peers, the platform and
    /// the targets.
    fn evaluate_isolation(&mut self, now: times::BootTime) {
        let local = self.handle.name();
        let lease = self.handle.lease();
        let slots = lease
            .iter()
            .flat_map(|lease| lease.record.roster.slots.values());
        let facts = members::IsolationFacts {
            platform_at: self.handle.platform_contact_at(),
            peer_at: self.members.peer_heard_at(),
            has_peers: slots.into_iter().any(|node| node != local),
            sees_targets: !self.handle.evidence().is_empty(),
        };
        let state = members::IsolationPolicy::default().state(&facts, now);
        if self.isolation_level != state.level {
            self.isolation_level = state.level;
            log::info!(event = "links-changed", place:% = state.level; "");
        }
        self.handle.set_isolated(!state.ready);
        self.shares.allow_new_work(state.new_work);
    }

    fn ask_for_shares(&mut self, now: times::BootTime) {
        let Some((holder, ask)) = self.shares.tick(now) else {
            return;
        };
        let peers = self.members.live_peers(now);
        if let Some(entry) = peers.get(&holder) {
            self.send(entry.address, vec![messages::PeerMessage::ShareAsk(ask)]);
        }
    }

    /// Sends all live nodes the marks of requests that may have crashed a target.
    fn send_crashes(&mut self, now: times::BootTime) {
        let delta = self
            .handle
            .requests()
            .crash_delta(crash_marks::MARKS_PER_ROUND);
        if delta.marks.is_empty() {
            return;
        }
        let crashes = crash_marks::to_message(delta);
        for peer in self.peer_entries(now) {
            let message = messages::PeerMessage::Crashes(crashes.clone());
            self.send(peer.address, vec![message]);
        }
    }

    pub(super) fn send(&mut self, receiver: net::SocketAddr, messages: Vec<messages::PeerMessage>) {
        match self.sealer.seal(messages) {
            Ok(datagrams) => {
                for datagram in datagrams {
                    self.socket.send(&datagram, receiver);
                }
            }
            Err(error) => log::error!(event = "datagram-unsealed", cause:% = error; ""),
        }
    }

    fn live_nodes(&self, now: times::BootTime) -> collections::BTreeSet<ids::NodeName> {
        self.members.live_peers(now).into_keys().collect()
    }

    pub(super) fn config_version(&self) -> epochs::ConfigVersion {
        let config = self.handle.config();
        config.map_or_else(epochs::ConfigVersion::default, |config| config.version)
    }

    fn publish_peers(&self, now: times::BootTime) {
        let current = self.peer_entries(now);
        if *self.handle.peers() != current {
            log::info!(event = "peers-changed", peers = current.len(); "");
            self.handle.publish_peers(current);
        }
    }

    /// Returns the live nodes of all data centres.
    fn peer_entries(&self, now: times::BootTime) -> Vec<handle::PeerEntry> {
        let local = &self.handle.settings().data_centre;
        let direct = self.members.forward_peers(local, now);
        let direct = direct.into_iter().map(|entry| entry.node);
        let direct = direct.collect::<collections::BTreeSet<_>>();
        let views = self.members.views(now).into_iter();
        let live = views.filter(|(_, health)| *health == members::MemberHealth::Alive);
        live.map(|(entry, _)| handle::PeerEntry {
            node: entry.node.clone(),
            data_centre: entry.data_centre.clone(),
            address: entry.address,
            draining: entry.beat.draining,
            accepts_forwards: entry.data_centre != *local || direct.contains(&entry.node),
        })
        .collect()
    }
}

fn local_entry(handle: &handle::NodeHandle, address: net::SocketAddr) -> messages::MemberEntry {
    messages::MemberEntry {
        node: handle.name().clone(),
        instance: handle.instance(),
        data_centre: handle.settings().data_centre.clone(),
        address,
        beat: messages::MemberBeat {
            heartbeat: 0,
            config: epochs::ConfigVersion::default(),
            draining: false,
        },
    }
}
