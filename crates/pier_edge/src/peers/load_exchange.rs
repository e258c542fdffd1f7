//! Both ends of the exchange of loads.

use std::collections;

use pier_fleet::loads;
use pier_types::{ids, times};

/// The hub that this node may be, the follower that it always is, and its choice of a hub.
#[derive(Debug, Default)]
pub(crate) struct LoadExchange {
    pub hub: loads::LoadHub,
    pub follower: loads::LoadFollower,
    pub choice: loads::HubChoice,
}

impl LoadExchange {
    /// Returns the first members that take no new requests, by the newest digest.
    pub(crate) fn retiring(&self, now: times::BootTime) -> collections::BTreeSet<ids::VmName> {
        let digest = self.follower.digest(now);
        digest.map_or_else(collections::BTreeSet::new, |digest| digest.retiring.clone())
    }
}
