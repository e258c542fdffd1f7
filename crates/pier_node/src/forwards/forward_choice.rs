//! Chooses the nodes to which a request may be forwarded.

use std::collections;

use pier_config::documents;
use pier_types::ids;

use crate::handle;

/// Maximum number of nodes of this data centre that are tried for one request.
const MAX_LOCAL_CANDIDATES: usize = 2;

/// Maximum number of nodes of other data centres that are tried for one request.
const MAX_REMOTE_CANDIDATES: usize = 3;

/// What the choice of a node for a forwarded request depends on.
#[derive(Debug, Clone)]
pub struct ForwardChoice<'a> {
    /// The data centre of this node.
    pub data_centre: &'a ids::DataCentreName,
    /// The configuration in force.
    pub document: &'a documents::ConfigDocument,
    /// The other nodes that are considered alive.
    pub peers: &'a [handle::PeerEntry],
    /// Whether other nodes of this data centre may take the request; false while the data centre
    /// shifts it elsewhere.
    pub local_serves: bool,
}

impl ForwardChoice<'_> {
    /// Returns the nodes to try, in order.
    ///
    /// Nodes of this data centre come first, as they have their own shares of the same targets; the
    /// second is for the case that the first reaches no target. Then come nodes of other data
    /// centres, at first one of each data centre, so that the loss of a data centre costs one try;
    /// nodes of this region precede those of others. `random` spreads requests over equivalent
    /// nodes.
    pub fn candidates(&self, random: u64) -> Vec<handle::PeerEntry> {
        let (local, remote) = self.usable().partition(|peer| self.is_local(peer));
        let local_candidates = rotated(local, random)
            .into_iter()
            .take(MAX_LOCAL_CANDIDATES);
        local_candidates
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
