//! What a hub tells the nodes of its data centre and the other hubs.

use std::collections;

use pier_types::ids;
use serde::{Deserialize, Serialize};

use crate::loads;

/// The load of all nodes at each target, added up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// The hub.
    pub hub: ids::NodeName,
    /// The hub's data centre.
    pub data_centre: ids::DataCentreName,
    /// Rises with each digest of one start of the hub.
    pub number: u64,
    /// Number of the newest report that is counted in `local`, by the node's tag; left out for other
    /// hubs.
    pub counted: collections::BTreeMap<u32, u64>,
    /// Load of the nodes of the hub's data centre.
    pub local: collections::BTreeMap<ids::VmName, loads::TargetLoad>,
    /// Load of the other data centres' nodes; left out for other hubs.
    pub remote: collections::BTreeMap<ids::VmName, loads::TargetLoad>,
    /// Targets that most of the nodes which have requests there find stuck.
    pub stuck: collections::BTreeSet<ids::VmName>,
    /// First members that take no new requests, told by the stewards.
    pub retiring: collections::BTreeSet<ids::VmName>,
}
