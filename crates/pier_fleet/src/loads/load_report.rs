//! What a node tells its hub.

use std::collections;

use pier_types::ids;
use serde::{Deserialize, Serialize};

use crate::loads;

/// A node's own load at each target where it has any.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The node.
    pub node: ids::NodeName,
    /// Names the node's start in digests, where its whole name would be most of the bytes; drawn at
    /// random.
    pub tag: u32,
    /// Rises with each report of one start of the node.
    pub number: u64,
    /// The load by target.
    pub loads: collections::BTreeMap<ids::VmName, loads::TargetLoad>,
    /// Targets that move nothing, by this node's own evidence.
    pub stuck: collections::BTreeSet<ids::VmName>,
}
