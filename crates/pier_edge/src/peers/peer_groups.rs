//! Which nodes act for others in a large fleet.

use std::{collections, net};

use pier_types::{ids, sizes, times};

use super::peer_table::{KnownPeer, PEER_LIFETIME, SHARE_LIFETIME};
use crate::peers;

/// Greatest number of peers with which heartbeats are sent at every interval, and of which each
/// hears every other directly. With more of them heartbeats are sent less often in proportion, so
/// that a node's cost does not grow with the fleet.
pub(crate) const FULL_RATE_PEERS: usize = 12;

/// Nodes of a data centre that read the store as soon as its steward fails, so that one of them can
/// replace it. The others leave them the time to do so.
const SUCCESSORS: usize = 2;

impl peers::PeerTable {
    /// Returns whether the fleet is so large that other data centres are told of this one's nodes
    /// in summaries.
    pub(crate) fn is_large(&self) -> bool {
        self.peers.len() > FULL_RATE_PEERS
    }

    /// Returns the known nodes of a data centre.
    pub(super) fn in_centre(
        &self,
        data_centre: &ids::DataCentreName,
    ) -> impl Iterator<Item = (net::SocketAddr, &KnownPeer)> {
        let peers = self.peers.iter().map(|(address, peer)| (*address, peer));
        peers.filter(move |(_address, peer)| peer.data_centre == *data_centre)
    }

    /// Returns the addresses of all known nodes of a data centre.
    pub(crate) fn centre_addresses(
        &self,
        data_centre: &ids::DataCentreName,
    ) -> Vec<net::SocketAddr> {
        let local = self.in_centre(data_centre);
        local.map(|(address, _peer)| address).collect()
    }

    /// Returns the addresses in other data centres that get heartbeats instead of summaries.
    pub(crate) fn direct_remote_addresses(
        &self,
        data_centre: &ids::DataCentreName,
    ) -> Vec<net::SocketAddr> {
        let is_large = self.is_large();
        let direct = self.peers.iter().filter(|(_address, peer)| {
            peer.data_centre != *data_centre && !(is_large && peer.format.has_summaries())
        });
        direct.map(|(address, _peer)| *address).collect()
    }

    /// Returns the addresses of the nodes of a data centre to which it can be told about another
    /// one: those that are alive, or else all that are known there.
    pub(crate) fn summary_receivers(
        &self,
        data_centre: &ids::DataCentreName,
        now: times::BootTime,
    ) -> Vec<net::SocketAddr> {
        let able = self
            .in_centre(data_centre)
            .filter(|(_address, peer)| peer.format.has_summaries());
        let able: Vec<_> = able.collect();
        let live = able
            .iter()
            .filter(|(_address, peer)| peer.is_heard(PEER_LIFETIME, now));
        let live: Vec<_> = live.map(|(address, _peer)| *address).collect();
        if live.is_empty() {
            able.into_iter().map(|(address, _peer)| address).collect()
        } else {
            live
        }
    }

    /// Returns the addresses of this data centre's nodes to which summaries are forwarded.
    pub(crate) fn summary_followers(
        &self,
        data_centre: &ids::DataCentreName,
        now: times::BootTime,
    ) -> Vec<net::SocketAddr> {
        let local = self.in_centre(data_centre).filter(|(_address, peer)| {
            peer.format.has_summaries() && peer.is_heard(SHARE_LIFETIME, now)
        });
        local.map(|(address, _peer)| address).collect()
    }

    /// Returns whether this node sends its data centre's summaries: the steward if it is alive and its
    /// build knows them, otherwise the first such node by name.
    pub(crate) fn is_delegate(
        &self,
        data_centre: &ids::DataCentreName,
        now: times::BootTime,
    ) -> bool {
        let able = self.in_centre(data_centre).filter(|(_address, peer)| {
            peer.format.has_summaries()
                && peer.is_heard(PEER_LIFETIME, now)
                && peer
                    .beat
                    .as_ref()
                    .is_some_and(|beat| beat.phase != peers::NodePhase::Leaving)
        });
        let mut able: collections::BTreeSet<_> = able.map(|(_address, peer)| &peer.node).collect();
        able.insert(&self.local_node);
        let steward = self.steward(data_centre);
        let steward = steward.filter(|steward| able.contains(steward));
        steward.or_else(|| able.first().copied()) == Some(&self.local_node)
    }

    /// Returns whether this node is among the first [`SUCCESSORS`] that may replace the steward of
    /// its data centre.
    pub(crate) fn is_successor(
        &self,
        data_centre: &ids::DataCentreName,
        now: times::BootTime,
    ) -> bool {
        let view = self.steward_view(data_centre, data_centre, now);
        let holder = view.recorded.as_ref().map(|recorded| &recorded.holder);
        let (first, rest): (Vec<_>, Vec<_>) = view
            .local
            .iter()
            .filter(|node| Some(*node) != holder)
            .partition(|node| view.preferred.contains(*node));
        let mut successors = first.into_iter().chain(rest).take(SUCCESSORS);
        successors.any(|node| *node == self.local_node)
    }

    /// Returns the heartbeats of a data centre's nodes that came from them within
    /// [`SHARE_LIFETIME`].
    pub(crate) fn heard_beats(
        &self,
        data_centre: &ids::DataCentreName,
        now: times::BootTime,
    ) -> Vec<peers::HeardBeat> {
        let heard = self
            .in_centre(data_centre)
            .filter(|(_address, peer)| !peer.is_summarised && peer.is_heard(SHARE_LIFETIME, now));
        let beats = heard.filter_map(|(address, peer)| {
            Some(peers::HeardBeat {
                address,
                format: peer.format,
                age: now.since(peer.last_beat_at?),
                beat: peer.beat.clone()?,
            })
        });
        beats.collect()
    }

    /// Returns the address of a node that serves what it knows of the store to others.
    pub(crate) fn snapshot_address(&self, node: &ids::NodeName) -> Option<net::SocketAddr> {
        let mut peers = self.peers.iter();
        let found = peers.find(|(_address, peer)| peer.node == *node)?;
        let (address, peer) = found;
        peer.format.has_summaries().then_some(*address)
    }

    /// Returns the nodes of this node's data centre with the greatest processor share; none if no
    /// share is known.
    pub(super) fn preferred_nodes(
        &self,
        data_centre: &ids::DataCentreName,
        now: times::BootTime,
    ) -> collections::BTreeSet<ids::NodeName> {
        let live = self
            .in_centre(data_centre)
            .filter(|(_address, peer)| peer.is_heard(PEER_LIFETIME, now));
        let nodes: Vec<_> = live
            .map(|(_address, peer)| (peer.cores, &peer.node))
            .chain([(self.local_cores, &self.local_node)])
            .collect();
        let greatest = nodes.iter().map(|(cores, _node)| *cores).max();
        let greatest = greatest.filter(|cores| *cores > sizes::CoreShare::default());
        let preferred = nodes
            .into_iter()
            .filter(|(cores, _node)| Some(*cores) == greatest);
        preferred.map(|(_cores, node)| node.clone()).collect()
    }
}
