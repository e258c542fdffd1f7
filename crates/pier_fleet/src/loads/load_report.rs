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
    /// Rises with each report of one start of the node.
    pub number: u64,
    /// The load by target.
    pub loads: collections::BTreeMap<ids::VmName, loads::TargetLoad>,
    /// Targets that move nothing, by this node's own evidence.
    pub stuck: collections::BTreeSet<ids::VmName>,
}
