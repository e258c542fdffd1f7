//! The digest that a hub sends to the nodes of its data centre and to the other hubs.

use std::collections;

use pier_types::ids;
use serde::{Deserialize, Serialize};

use crate::loads;

/// The load of all nodes at each target, summed up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// The hub that sent the digest.
    pub hub: ids::NodeName,
    /// The hub's data centre.
    pub data_centre: ids::DataCentreName,
    /// Sequence number; rises with each digest until the hub restarts.
    pub number: u64,
    /// Sequence number of the newest report that is counted in `local`, by the node's tag; empty
    /// in digests for other hubs.
    pub counted: collections::BTreeMap<u32, u64>,
    /// Load from the nodes of the hub's data centre.
    pub local: collections::BTreeMap<ids::VmName, loads::TargetLoad>,
    /// Load from the nodes of other data centres; empty in digests for other hubs.
    pub remote: collections::BTreeMap<ids::VmName, loads::TargetLoad>,
    /// Targets that most of the nodes with requests there report as stuck.
    pub stuck: collections::BTreeSet<ids::VmName>,
    /// First members of groups that accept no new requests, as the stewards announced.
    pub retiring: collections::BTreeSet<ids::VmName>,
}
