//! The state of the exchange of loads through a hub.

use std::collections;

use pier_fleet::loads;
use pier_types::{ids, times};

/// This node's part as a hub, which sums the reports of a data centre's nodes while it is chosen;
/// as a follower, which applies the digests of a hub; and its choice of the hub.
#[derive(Debug, Default)]
pub(crate) struct LoadExchange {
    pub hub: loads::LoadHub,
    pub follower: loads::LoadFollower,
    pub choice: loads::HubChoice,
    /// Number of the last report of this node.
    pub report_number: u64,
    /// Number of the last digest of this node as a hub.
    pub digest_number: u64,
}

impl LoadExchange {
    /// Returns the first members that take no new requests, according to the newest digest.
    pub(crate) fn retiring(&self, now: times::BootTime) -> collections::BTreeSet<ids::VmName> {
        let digest = self.follower.digest(now);
        digest.map_or_else(collections::BTreeSet::new, |digest| digest.retiring.clone())
    }
}
