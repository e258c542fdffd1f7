//! Nodes and data centres that recently refused forwarded requests.

use std::{collections, sync};

use pier_types::{ids, routes, times};

use crate::handle;

/// What is skipped.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SkippedPlace {
    /// A node that reaches no target, unlike others of its data centre maybe.
    Node(ids::NodeName),
    /// A data centre that has no capacity.
    DataCentre(ids::DataCentreName),
}

/// Until when each place is skipped, by pool.
#[derive(Debug, Clone, Default)]
pub(super) struct SkippedPeers {
    until: collections::BTreeMap<(routes::PoolKey, SkippedPlace), times::BootTime>,
}

impl SkippedPeers {
    /// Returns a copy with one more place and without expired entries.
    pub(super) fn with(
        &self,
        pool: &routes::PoolKey,
        place: &SkippedPlace,
        until: times::BootTime,
        now: times::BootTime,
    ) -> sync::Arc<Self> {
        let mut skipped = self.clone();
        skipped.until.retain(|_key, until| *until > now);
        skipped.until.insert((pool.clone(), place.clone()), until);
        sync::Arc::new(skipped)
    }

    /// Returns whether a node is skipped for a pool.
    pub(super) fn contains(
        &self,
        pool: &routes::PoolKey,
        peer: &handle::PeerEntry,
        now: times::BootTime,
    ) -> bool {
        let places = [
            SkippedPlace::Node(peer.node.clone()),
            SkippedPlace::DataCentre(peer.data_centre.clone()),
        ];
        places.into_iter().any(|place| {
            let until = self.until.get(&(pool.clone(), place));
            until.is_some_and(|until| *until > now)
        })
    }
}
