//! Chooses the nodes that a request may be passed on to.

use std::collections;

use pier_config::documents;
use pier_types::ids;

use crate::handle;

/// Nodes of other data centres that are tried for one request.
const CANDIDATES: usize = 3;

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
    pub own_serves: bool,
}

impl ForwardChoice<'_> {
    /// Returns the nodes to try, one after the other.
    ///
    /// One node of this data centre comes first, as it has shares of its own of the same targets.
    /// Then come nodes of this region, and each of the first ones stands in another data centre,
    /// so that one lost data centre costs one try. `random` spreads requests over equals.
    pub fn candidates(&self, random: u64) -> Vec<handle::PeerEntry> {
        let (own, elsewhere) = self.usable().partition(|peer| self.is_own(peer));
        let sibling = rotated(own, random).into_iter().take(1);
        sibling
            .chain(self.others(elsewhere, random))
            .cloned()
            .collect()
    }

    fn others<'b>(
        &self,
        elsewhere: Vec<&'b handle::PeerEntry>,
        random: u64,
    ) -> impl Iterator<Item = &'b handle::PeerEntry> {
        let mut usable = rotated(elsewhere, random);
        usable.sort_by_key(|peer| !self.is_near(peer));
        let mut seen = collections::BTreeSet::new();
        let (first, more): (Vec<_>, Vec<_>) = usable
            .into_iter()
            .partition(|peer| seen.insert(&peer.data_centre));
        first.into_iter().chain(more).take(CANDIDATES)
    }

    fn usable(&self) -> impl Iterator<Item = &handle::PeerEntry> {
        self.peers.iter().filter(|peer| {
            let may_serve = self.own_serves || !self.is_own(peer);
            let is_open = peer.takes_forwards && !peer.draining;
            may_serve && is_open && self.document.is_in_service(&peer.data_centre)
        })
    }

    fn is_own(&self, peer: &handle::PeerEntry) -> bool {
        peer.data_centre == *self.data_centre
    }

    fn is_near(&self, peer: &handle::PeerEntry) -> bool {
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
