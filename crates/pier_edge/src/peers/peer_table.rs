//! The other nodes and the recorded stewards.

use std::{collections, net, time};

use pier_fleet::{loads, stewards};
use pier_types::{epochs, ids, sizes, times};

use crate::peers;

/// Silence after which a node no longer counts as alive: ten heartbeats.
pub(super) const PEER_LIFETIME: time::Duration = time::Duration::from_secs(1);

/// Silence after which a node is forgotten and no longer counts among those that share limits.
pub(super) const SHARE_LIFETIME: time::Duration = time::Duration::from_secs(30);

/// Time by which a node counts as alive for longer if its heartbeats come in summaries: some
/// intervals of them.
const SUMMARY_SLACK: time::Duration = time::Duration::from_millis(2_500);

/// How long a newly written record of a steward counts as a sign of life, until the steward's
/// heartbeats come.
const CLAIM_LIFETIME: time::Duration = time::Duration::from_secs(1);

/// Silence after which another node's load is no longer counted.
const LOAD_LIFETIME: time::Duration = time::Duration::from_millis(1_500);

/// What this node knows of the other nodes.
#[derive(Debug)]
pub(crate) struct PeerTable {
    pub(super) local_node: ids::NodeName,
    local_address: net::SocketAddr,
    pub(super) local_cores: sizes::CoreShare,
    /// Keyed by address, which a node keeps when it restarts.
    pub(super) peers: collections::BTreeMap<net::SocketAddr, KnownPeer>,
    has_read_own: bool,
    stewards: collections::BTreeMap<ids::DataCentreName, stewards::RecordedSteward>,
    /// Nodes whose VM has started another process since, with the time at which that was seen.
    ended: collections::BTreeMap<ids::NodeName, times::BootTime>,
    /// When each data centre's record of a steward was read that had just been written.
    claimed_at: collections::BTreeMap<ids::DataCentreName, times::BootTime>,
}

#[derive(Debug)]
pub(super) struct KnownPeer {
    pub node: ids::NodeName,
    pub data_centre: ids::DataCentreName,
    pub format: peers::PeerFormat,
    pub cores: sizes::CoreShare,
    pub discovered_at: times::BootTime,
    pub last_beat_at: Option<times::BootTime>,
    pub beat: Option<peers::NodeBeat>,
    /// Whether the last heartbeat came in a summary.
    pub is_summarised: bool,
}

impl KnownPeer {
    pub fn is_heard(&self, lifetime: time::Duration, now: times::BootTime) -> bool {
        let lifetime = if self.is_summarised {
            lifetime + SUMMARY_SLACK
        } else {
            lifetime
        };
        self.last_beat_at.is_some_and(|at| now.since(at) < lifetime)
    }
}

impl PeerTable {
    pub(crate) fn new(
        local_node: ids::NodeName,
        local_address: net::SocketAddr,
        local_cores: sizes::CoreShare,
    ) -> Self {
        Self {
            local_node,
            local_address,
            local_cores,
            peers: collections::BTreeMap::new(),
            has_read_own: false,
            stewards: collections::BTreeMap::new(),
            ended: collections::BTreeMap::new(),
            claimed_at: collections::BTreeMap::new(),
        }
    }

    /// Adds a node from its record in the store, unless a heartbeat has come from its address.
    pub(crate) fn apply_record(&mut self, record: peers::NodeRecord, now: times::BootTime) {
        if record.node == self.local_node {
            self.has_read_own = true;
            return;
        }
        if record.peers == self.local_address {
            self.ended.insert(record.node, now);
            return;
        }
        let known = self.peers.get(&record.peers);
        if known.is_some_and(|known| known.node == record.node || known.last_beat_at.is_some()) {
            return;
        }
        let peer = KnownPeer {
            node: record.node,
            data_centre: record.data_centre,
            format: record.format,
            cores: sizes::CoreShare::default(),
            discovered_at: now,
            last_beat_at: None,
            beat: None,
            is_summarised: false,
        };
        self.insert(record.peers, peer, now);
    }

    /// Returns whether the records read include this node's own, and so every one written before it.
    /// Nodes whose records are written later find this node's.
    pub(crate) const fn has_read_own(&self) -> bool {
        self.has_read_own
    }

    /// Records a heartbeat that came from its node; one of the same start that is not newer than
    /// the last is dropped. Returns whether it is the node's first.
    pub(crate) fn record_beat(
        &mut self,
        heard: peers::HeardBeat,
        cores: sizes::CoreShare,
        now: times::BootTime,
    ) -> bool {
        self.record(heard, cores, false, now)
    }

    /// Records a heartbeat that came in a summary.
    pub(crate) fn record_summarised(&mut self, heard: peers::HeardBeat, now: times::BootTime) {
        self.record(heard, sizes::CoreShare::default(), true, now);
    }

    fn record(
        &mut self,
        heard: peers::HeardBeat,
        cores: sizes::CoreShare,
        is_summarised: bool,
        now: times::BootTime,
    ) -> bool {
        let beat = heard.beat;
        if beat.node == self.local_node {
            return false;
        }
        let known = self.peers.get(&heard.address);
        let heard_at = now.before(heard.age);
        let is_older = known.is_some_and(|known| match &known.beat {
            Some(last) if last.node == beat.node => last.number >= beat.number,
            // A summary may be older than the restart that another heartbeat has shown.
            _ => is_summarised && known.last_beat_at.is_some_and(|at| at > heard_at),
        });
        if is_older {
            return false;
        }
        let is_first = known.is_none_or(|known| {
            let last = known.beat.as_ref();
            known.is_summarised || last.is_none_or(|last| last.node != beat.node)
        });
        let peer = KnownPeer {
            node: beat.node.clone(),
            data_centre: beat.data_centre.clone(),
            format: heard.format,
            cores,
            discovered_at: now,
            last_beat_at: Some(heard_at),
            beat: Some(beat),
            is_summarised,
        };
        self.insert(heard.address, peer, now);
        is_first
    }

    fn insert(&mut self, address: net::SocketAddr, peer: KnownPeer, now: times::BootTime) {
        let name = peer.node.clone();
        let former = self.peers.insert(address, peer);
        if let Some(former) = former.filter(|former| former.node != name) {
            self.ended.insert(former.node, now);
        }
    }

    /// Removes nodes that have been silent for [`SHARE_LIFETIME`].
    pub(crate) fn expire(&mut self, now: times::BootTime) {
        self.peers.retain(|_address, peer| {
            let last = peer.last_beat_at.unwrap_or(peer.discovered_at);
            now.since(last) < SHARE_LIFETIME
        });
        self.ended
            .retain(|_node, seen_at| now.since(*seen_at) < SHARE_LIFETIME);
    }

    pub(crate) fn addresses(&self) -> Vec<net::SocketAddr> {
        self.peers.keys().copied().collect()
    }

    /// Returns the addresses of the nodes of a data centre that were heard of within
    /// [`SHARE_LIFETIME`].
    pub(crate) fn local_addresses(
        &self,
        data_centre: &ids::DataCentreName,
        now: times::BootTime,
    ) -> Vec<net::SocketAddr> {
        let local = self
            .in_centre(data_centre)
            .filter(|(_address, peer)| peer.is_heard(SHARE_LIFETIME, now));
        local.map(|(address, _peer)| address).collect()
    }

    /// Returns the recorded steward of a data centre.
    pub(crate) fn steward(&self, data_centre: &ids::DataCentreName) -> Option<&ids::NodeName> {
        self.stewards
            .get(data_centre)
            .map(|recorded| &recorded.holder)
    }

    /// Returns every recorded steward.
    pub(crate) fn stewards(
        &self,
    ) -> Vec<(
        ids::DataCentreName,
        peers::StewardRecord,
        epochs::ObjectVersion,
    )> {
        let recorded_stewards = self.stewards.iter();
        recorded_stewards
            .map(|(data_centre, recorded)| {
                let record = peers::StewardRecord {
                    holder: recorded.holder.clone(),
                    term: recorded.term,
                };
                (data_centre.clone(), record, recorded.version)
            })
            .collect()
    }

    /// Returns how many nodes share the common limits, including this one.
    pub(crate) fn sharing_nodes(&self, now: times::BootTime) -> u32 {
        let sharing = self.peers.values().filter(|peer| {
            let last = peer.last_beat_at.unwrap_or(peer.discovered_at);
            now.since(last) < SHARE_LIFETIME
        });
        u32::try_from(sharing.count())
            .unwrap_or(u32::MAX)
            .saturating_add(1)
    }

    /// Returns the load of all other nodes at each target.
    pub(crate) fn loads(
        &self,
        now: times::BootTime,
    ) -> collections::BTreeMap<ids::VmName, loads::TargetLoad> {
        let mut sums: collections::BTreeMap<_, loads::TargetLoad> = collections::BTreeMap::new();
        for beat in self.beats(now, LOAD_LIFETIME) {
            for (vm, load) in &beat.loads {
                *sums.entry(vm.clone()).or_default() += *load;
            }
        }
        sums
    }

    /// Returns the address of a node.
    pub(crate) fn address_of(&self, node: &ids::NodeName) -> Option<net::SocketAddr> {
        let mut peers = self.peers.iter();
        let found = peers.find(|(_address, peer)| peer.node == *node);
        found.map(|(address, _peer)| *address)
    }

    /// Returns the nodes of a data centre that are alive and not leaving; `local_data_centre` is
    /// this node's own.
    pub(crate) fn live_nodes(
        &self,
        data_centre: &ids::DataCentreName,
        local_data_centre: &ids::DataCentreName,
        now: times::BootTime,
    ) -> collections::BTreeSet<ids::NodeName> {
        self.steward_view(data_centre, local_data_centre, now).local
    }

    /// Returns the nodes that share the rates of targets, with their data centres: those that are alive
    /// and reach targets, and this one. A node that leaves still sends requests.
    pub(crate) fn rate_sharers(
        &self,
        local_data_centre: &ids::DataCentreName,
        now: times::BootTime,
    ) -> Vec<(ids::NodeName, ids::DataCentreName)> {
        let sharing = self
            .beats(now, PEER_LIFETIME)
            .filter(|beat| beat.phase != peers::NodePhase::Isolated);
        let sharing = sharing.map(|beat| (beat.node.clone(), beat.data_centre.clone()));
        let own = (self.local_node.clone(), local_data_centre.clone());
        sharing.chain([own]).collect()
    }

    /// Returns the other nodes that reached the store recently.
    pub(crate) fn nodes_reaching_store(
        &self,
        now: times::BootTime,
    ) -> collections::BTreeSet<ids::NodeName> {
        let beats = self
            .beats(now, PEER_LIFETIME)
            .filter(|beat| beat.reaches_store);
        beats.map(|beat| beat.node.clone()).collect()
    }

    /// Returns the nodes to which requests for a service can be passed on: those that are alive, do
    /// not leave and reach targets of it, the nodes of this data centre first.
    pub(crate) fn forwarders(
        &self,
        service: &ids::ServiceName,
        local_data_centre: &ids::DataCentreName,
        now: times::BootTime,
    ) -> Vec<peers::Forwarder> {
        let able = self.beats(now, PEER_LIFETIME).filter(|beat| {
            beat.phase != peers::NodePhase::Leaving && beat.reached.contains(service)
        });
        let forwarders = able.map(|beat| peers::Forwarder {
            node: beat.node.clone(),
            address: beat.forwards,
            is_local: beat.data_centre == *local_data_centre,
        });
        let (mut local, remote): (Vec<_>, Vec<_>) =
            forwarders.partition(|forwarder| forwarder.is_local);
        local.extend(remote);
        local
    }

    /// Returns whether an IP address is that of a known node.
    pub(crate) fn knows_ip(&self, ip: net::IpAddr) -> bool {
        self.peers.keys().any(|address| address.ip() == ip)
    }

    /// Returns the names of all known nodes.
    pub(crate) fn names(&self) -> collections::BTreeSet<ids::NodeName> {
        self.peers.values().map(|peer| peer.node.clone()).collect()
    }

    /// Returns the names of the nodes that are alive.
    pub(crate) fn live_names(&self, now: times::BootTime) -> collections::BTreeSet<ids::NodeName> {
        let beats = self.beats(now, PEER_LIFETIME);
        beats.map(|beat| beat.node.clone()).collect()
    }

    /// Returns how many other nodes are known.
    pub(crate) fn count(&self) -> usize {
        self.peers.len()
    }

    /// Returns the targets that other nodes found stuck.
    pub(crate) fn stuck(&self, now: times::BootTime) -> collections::BTreeSet<ids::VmName> {
        let beats = self.beats(now, PEER_LIFETIME);
        beats.flat_map(|beat| beat.stuck.iter().cloned()).collect()
    }

    /// Returns the first members that other nodes, as stewards, are retiring.
    pub(crate) fn retiring(&self, now: times::BootTime) -> collections::BTreeSet<ids::VmName> {
        let beats = self.beats(now, PEER_LIFETIME);
        beats
            .flat_map(|beat| beat.retiring.iter().cloned())
            .collect()
    }

    /// Returns the newest version of the document that any other node has in force.
    pub(crate) fn newest_document(&self, now: times::BootTime) -> epochs::ConfigVersion {
        let versions = self.beats(now, PEER_LIFETIME).map(|beat| beat.document);
        versions.max().unwrap_or_default()
    }

    /// Returns whether any other node has served a request.
    pub(crate) fn has_served(&self, now: times::BootTime) -> bool {
        self.beats(now, SHARE_LIFETIME).any(|beat| beat.has_served)
    }

    /// Records that the known record of a steward has just been written.
    pub(crate) fn note_claim(&mut self, data_centre: ids::DataCentreName, now: times::BootTime) {
        self.claimed_at.insert(data_centre, now);
    }

    /// Applies a steward's record; returns whether it is newer than the known one.
    pub(crate) fn set_steward(
        &mut self,
        data_centre: ids::DataCentreName,
        record: peers::StewardRecord,
        version: epochs::ObjectVersion,
    ) -> bool {
        let known = self.stewards.get(&data_centre);
        if known.is_some_and(|known| known.version >= version) {
            return false;
        }
        let recorded = stewards::RecordedSteward {
            holder: record.holder,
            term: record.term,
            version,
        };
        self.stewards.insert(data_centre, recorded);
        true
    }

    /// Returns whether this node is the steward of any data centre.
    pub(crate) fn is_steward(&self) -> bool {
        self.stewards
            .values()
            .any(|recorded| recorded.holder == self.local_node)
    }

    /// Returns the view of a data centre that the election of its steward works on;
    /// `local_data_centre` is this node's own.
    pub(crate) fn steward_view(
        &self,
        data_centre: &ids::DataCentreName,
        local_data_centre: &ids::DataCentreName,
        now: times::BootTime,
    ) -> stewards::StewardView {
        let mut view = stewards::StewardView {
            recorded: self.stewards.get(data_centre).cloned(),
            ..stewards::StewardView::default()
        };
        let live_nodes = self
            .beats(now, PEER_LIFETIME)
            .filter(|beat| beat.phase == peers::NodePhase::Serving);
        if data_centre == local_data_centre {
            view.preferred = self.preferred_nodes(data_centre, now);
        }
        let nodes = live_nodes.map(|beat| (beat.node.clone(), beat.data_centre.clone()));
        for (node, node_data_centre) in
            nodes.chain([(self.local_node.clone(), local_data_centre.clone())])
        {
            if node_data_centre == *data_centre {
                view.local.insert(node);
            } else {
                view.remote.insert(node);
            }
        }
        let holder = view.recorded.as_ref().map(|recorded| &recorded.holder);
        view.has_ended = holder.is_some_and(|holder| self.ended.contains_key(holder));
        let claimed_at = self.claimed_at.get(data_centre);
        view.is_claimed = claimed_at.is_some_and(|at| now.since(*at) < CLAIM_LIFETIME);
        view
    }

    fn beats(
        &self,
        now: times::BootTime,
        lifetime: time::Duration,
    ) -> impl Iterator<Item = &peers::NodeBeat> {
        let active = self
            .peers
            .values()
            .filter(move |peer| peer.is_heard(lifetime, now));
        active.filter_map(|peer| peer.beat.as_ref())
    }
}
