//! The task that talks with the other nodes.

use std::{collections, io, net, time};

use anyhow::Context as _;
use pier_limits::{members, probes as decisions};
use pier_types::{epochs, ids, times, times::clocks};
use pier_wire::{messages, seals};
use tokio::sync::mpsc;

use crate::{
    configs, handle, peers,
    peers::{crash_marks, share_driver},
    probes, requests,
};

/// Time between two looks at what is due.
const TICK: time::Duration = time::Duration::from_millis(100);

/// Time between two rounds of gossip and pulls.
const ROUND: time::Duration = time::Duration::from_secs(1);

/// A gap between ticks after which all evidence is dropped: the node itself was paused.
const PAUSE_LIMIT: time::Duration = time::Duration::from_secs(2);

/// The state of the loop.
#[derive(Debug)]
pub struct PeerLoop {
    handle: handle::NodeHandle,
    socket: peers::PeerSocket,
    configs: configs::ConfigInbox,
    sealer: seals::DatagramSealer,
    opener: seals::DatagramOpener,
    members: members::MemberTable,
    pulls: decisions::PullPlan,
    probes: probes::ProbeDriver,
    shares: share_driver::ShareDriver,
    refusals: peers::DatagramRefusals,
    place: members::IsolationPlace,
    ticked_at: times::BootTime,
    round_at: times::BootTime,
}

impl PeerLoop {
    /// Starts the loop; it ends with the runtime.
    ///
    /// # Errors
    ///
    /// Fails when the loop runs already.
    pub fn spawn(
        handle: handle::NodeHandle,
        socket: peers::PeerSocket,
        configs: configs::ConfigInbox,
    ) -> anyhow::Result<()> {
        let key = handle.settings().peer_key.clone();
        let (sender, outcomes) = mpsc::unbounded_channel();
        let own = own_entry(&handle, socket.address());
        let now = clocks::boot_now();
        let peer_loop = Self {
            sealer: seals::DatagramSealer::new(
                key.clone(),
                handle.name().clone(),
                handle.instance(),
            ),
            opener: seals::DatagramOpener::new(key, handle.instance()),
            members: members::MemberTable::new(own, members::MemberPolicy::default()),
            pulls: decisions::PullPlan::default(),
            probes: probes::ProbeDriver::new(handle.clone(), sender),
            shares: share_driver::ShareDriver::new(handle.clone()),
            refusals: peers::DatagramRefusals::default(),
            place: members::IsolationPlace::PlatformAway,
            ticked_at: now,
            round_at: times::BootTime::default(),
            handle,
            socket,
            configs,
        };
        let warmth = peer_loop.handle.requests().take_warmth_news();
        let warmth = warmth.context("another loop has the evidence of warmth")?;
        tokio::spawn(peer_loop.run(outcomes, warmth));
        Ok(())
    }

    async fn run(
        mut self,
        mut outcomes: mpsc::UnboundedReceiver<probes::ProbeOutcome>,
        mut warmth: mpsc::Receiver<requests::WarmthNews>,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _tick = ticks.tick() => self.tick(clocks::boot_now()),
                received = self.socket.receive() => self.take(received, clocks::boot_now()),
                Some(outcome) = outcomes.recv() => self.probes.take(outcome),
                Some(news) = warmth.recv() => self.shares.hear(&news, clocks::boot_now()),
            }
        }
    }

    fn tick(&mut self, now: times::BootTime) {
        if now.since(self.ticked_at) > PAUSE_LIMIT {
            log::warn!(event = "node-paused", millis = now.since(self.ticked_at).as_millis(); "");
            self.probes.forget();
        }
        self.ticked_at = now;
        self.members.tick(now);
        let mut nodes = self.live_nodes(now);
        if now.since(self.round_at) >= ROUND {
            self.round_at = now;
            self.round(&nodes, now);
            self.tell_crashes(now);
        }
        nodes.insert(self.handle.name().clone());
        self.probes.tick(&nodes, now);
        self.judge_isolation(now);
        self.ask_for_shares(now);
        self.publish_peers(now);
        self.refusals.report(now);
    }

    /// Sends gossip, and to each node of the data centre a sign of life and a pull.
    fn round(&mut self, nodes: &collections::BTreeSet<ids::NodeName>, now: times::BootTime) {
        self.members
            .beat(self.config_version(), self.handle.is_draining());
        let gossip = self.members.gossip(&self.handle.settings().seeds, now);
        for receiver in gossip.receivers {
            let entries = messages::PeerMessage::Members(gossip.entries.clone());
            self.send(receiver, vec![entries]);
        }
        let own = self.handle.name().clone();
        let old = self.probes.old(now);
        let pulls = self.pulls.round(&own, self.probes.plan(), nodes, &old, now);
        let peers = self.members.live_peers(now);
        for (peer, pull) in pulls {
            if let Some(entry) = peers.get(&peer) {
                let greeting = self.members.greeting(&peer, now);
                let pull = messages::PeerMessage::ProbePull(pull);
                self.send(entry.address, vec![greeting, pull]);
            }
        }
    }

    /// Stops new work, or lets it go on, by what this node hears of the rest.
    fn judge_isolation(&mut self, now: times::BootTime) {
        let own = self.handle.name();
        let lease = self.handle.lease();
        let slots = lease
            .iter()
            .flat_map(|lease| lease.record.roster.slots.values());
        let facts = members::IsolationFacts {
            platform_at: self.handle.platform_at(),
            peer_at: self.members.peer_heard_at(),
            has_peers: slots.into_iter().any(|node| node != own),
            sees_targets: !self.handle.evidence().is_empty(),
        };
        let stance = members::IsolationPolicy::default().stance(&facts, now);
        if self.place != stance.place {
            self.place = stance.place;
            log::info!(event = "links-changed", place:% = stance.place; "");
        }
        self.handle.keep_callers_away(!stance.ready);
        self.shares.allow_new_work(stance.new_work);
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

    fn take(&mut self, received: io::Result<(Vec<u8>, net::SocketAddr)>, now: times::BootTime) {
        let Ok((datagram, source)) = received else {
            // An earlier datagram met a closed port; the next one may be received all the same.
            return;
        };
        match self.opener.open(&datagram, now) {
            Ok(opened) => self.take_messages(opened, source, now),
            Err(refusal) => {
                if refusal != seals::SealRefusal::OwnEcho {
                    self.handle.metrics().requests().count_datagram(refusal);
                }
                self.refusals.count(refusal, source);
            }
        }
    }

    fn take_messages(
        &mut self,
        opened: seals::OpenedDatagram,
        source: net::SocketAddr,
        now: times::BootTime,
    ) {
        let (sender, instance) = (opened.sender, opened.instance);
        for message in opened.messages {
            match message {
                messages::PeerMessage::Beat(beat) => {
                    self.members.hear_beat(&sender, instance, beat, now);
                    self.hint(&sender, source, beat.config);
                }
                messages::PeerMessage::Members(entries) => {
                    for entry in &entries {
                        self.hint(&entry.node, entry.address, entry.beat.config);
                    }
                    self.members.hear_entries(&sender, entries, now);
                }
                messages::PeerMessage::ProbePull(pull) => {
                    let batch = self.probes.answer(&pull, clocks::boot_now());
                    self.send(source, vec![messages::PeerMessage::ProbeBatch(batch)]);
                }
                messages::PeerMessage::ProbeBatch(batch) => {
                    if let Some(asked_at) = self.pulls.asked_at(&sender, batch.pull) {
                        self.probes.take_batch(&batch, asked_at);
                    }
                }
                messages::PeerMessage::Crashes(crashes) => {
                    let delta = crash_marks::from_message(crashes);
                    self.handle.requests().merge_crashes(&delta);
                }
                messages::PeerMessage::ConfigHint(version) => self.hint(&sender, source, version),
                messages::PeerMessage::ShareAsk(ask) => {
                    let grant = self.shares.answer(&sender, &ask, clocks::boot_now());
                    if let Some(grant) = grant {
                        self.send(source, vec![messages::PeerMessage::ShareGrant(grant)]);
                    }
                }
                messages::PeerMessage::ShareGrant(grant) => {
                    self.shares.take(&grant, clocks::boot_now());
                }
            }
        }
    }

    /// Passes on that a node holds a version, if it is above the one in force here.
    fn hint(&self, node: &ids::NodeName, address: net::SocketAddr, version: epochs::ConfigVersion) {
        if version > self.config_version() {
            self.configs.hint(node.clone(), address, version);
        }
    }

    /// Tells all live nodes of crashes that a request may be to blame for.
    fn tell_crashes(&mut self, now: times::BootTime) {
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

    fn send(&mut self, receiver: net::SocketAddr, messages: Vec<messages::PeerMessage>) {
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

    fn config_version(&self) -> epochs::ConfigVersion {
        let config = self.handle.config();
        config.map_or_else(epochs::ConfigVersion::default, |config| config.version)
    }

    fn publish_peers(&self, now: times::BootTime) {
        let present = self.peer_entries(now);
        if *self.handle.peers() != present {
            log::info!(event = "peers-changed", peers = present.len(); "");
            self.handle.publish_peers(present);
        }
    }

    /// Returns the live nodes of all data centres.
    fn peer_entries(&self, now: times::BootTime) -> Vec<handle::PeerEntry> {
        let views = self.members.views(now).into_iter();
        let live = views.filter(|(_, health)| *health == members::MemberHealth::Alive);
        live.map(|(entry, _)| handle::PeerEntry {
            node: entry.node.clone(),
            data_centre: entry.data_centre.clone(),
            address: entry.address,
            draining: entry.beat.draining,
        })
        .collect()
    }
}

fn own_entry(handle: &handle::NodeHandle, address: net::SocketAddr) -> messages::MemberEntry {
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
