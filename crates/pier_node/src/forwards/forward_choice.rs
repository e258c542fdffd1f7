//! Chooses the nodes that a request may be passed on to.

use std::collections;

use pier_config::documents;
use pier_types::ids;

use crate::handle;

/// Nodes of other data centres that are tried for one request.
const MAX_REMOTE_CANDIDATES: usize = 3;

/// The nodes that could take a request over.
#[derive(Debug, Clone)]
pub struct ForwardChoice<'a> {
    /// The data centre of this node.
    pub data_centre: &'a ids::DataCentreName,
    /// The configuration in force.
    pub document: &'a documents::ConfigDocument,
    /// The other nodes that are thought alive.
    pub peers: &'a [handle::PeerEntry],
    /// Whether this data centre's other nodes may take the request: not while the data centre
    /// sends it elsewhere.
    pub local_serves: bool,
}

impl ForwardChoice<'_> {
    /// Returns the nodes to try, one after the other.
    ///
    /// One node of this data centre comes first, as it has shares of its own of the same targets.
    /// Then come nodes of this region, and each of the first ones stands in another data centre,
    /// so that one lost data centre costs one try. `random` spreads requests over equals.
    pub fn candidates(&self, random: u64) -> Vec<handle::PeerEntry> {
        let (local, remote) = self.usable().partition(|peer| self.is_local(peer));
        let local_candidate = rotated(local, random).into_iter().take(1);
        local_candidate
            .chain(self.remote_candidates(remote, random))
            .cloned()
            .collect()
    }

    fn remote_candidates<'b>(
        &self,
        remote: Vec<&'b handle::PeerEntry>,
        random: u64,
    ) -> impl Iterator<Item = &'b handle::PeerEntry> {
        let mut usable = rotated(remote, random);
        usable.sort_by_key(|peer| !self.is_same_region(peer));
        let mut seen = collections::BTreeSet::new();
        let (first, more): (Vec<_>, Vec<_>) = usable
            .into_iter()
            .partition(|peer| seen.insert(&peer.data_centre));
        first.into_iter().chain(more).take(MAX_REMOTE_CANDIDATES)
    }

    fn usable(&self) -> impl Iterator<Item = &handle::PeerEntry> {
        self.peers.iter().filter(|peer| {
            let may_serve = self.local_serves || !self.is_local(peer);
            let is_open = peer.accepts_forwards && !peer.draining;
            may_serve && is_open && self.document.is_in_service(&peer.data_centre)
        })
    }

    fn is_local(&self, peer: &handle::PeerEntry) -> bool {
        peer.data_centre == *self.data_centre
    }

    fn is_same_region(&self, peer: &handle::PeerEntry) -> bool {
        let region = |data_centre: &ids::DataCentreName| {
            let section = self.document.data_centres.get(data_centre);
            section.map(|section| &section.region)
        };
        region(&peer.data_centre) == region(self.data_centre)
    }
}

fn rotated(mut peers: Vec<&handle::PeerEntry>, random: u64) -> Vec<&handle::PeerEntry> {
    let count = u64::try_from(peers.len()).unwrap_or(1).max(1);
    peers.rotate_left(usize::try_from(random % count).unwrap_or(0));
    peers
}
