//! Chooses the nodes that a request may be passed on to.

use std::collections;

use pier_config::documents;
use pier_types::ids;

use crate::handle;

/// Nodes that are tried for one request.
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
}

impl ForwardChoice<'_> {
    /// Returns the nodes to try, one after the other.
    ///
    /// Nodes of this region come first, and each of the first ones stands in another data centre,
    /// so that one lost data centre costs one try. `random` spreads requests over equals.
    pub fn candidates(&self, random: u64) -> Vec<handle::PeerEntry> {
        let mut usable: Vec<&handle::PeerEntry> = self.usable().collect();
        if usable.is_empty() {
            return Vec::new();
        }
        let shift = usize::try_from(random % usable.len() as u64).unwrap_or(0);
        usable.rotate_left(shift);
        usable.sort_by_key(|peer| !self.is_near(peer));
        let mut seen = collections::BTreeSet::new();
        let (first, more): (Vec<_>, Vec<_>) = usable
            .into_iter()
            .partition(|peer| seen.insert(&peer.data_centre));
        let chosen = first.into_iter().chain(more).take(CANDIDATES);
        chosen.cloned().collect()
    }

    fn usable(&self) -> impl Iterator<Item = &handle::PeerEntry> {
        self.peers.iter().filter(|peer| {
            let elsewhere = peer.data_centre != *self.data_centre;
            elsewhere && !peer.draining && self.document.is_in_service(&peer.data_centre)
        })
    }

    fn is_near(&self, peer: &handle::PeerEntry) -> bool {
        let region = |data_centre: &ids::DataCentreName| {
            let section = self.document.data_centres.get(data_centre);
            section.map(|section| &section.region)
        };
        region(&peer.data_centre) == region(self.data_centre)
    }
}
