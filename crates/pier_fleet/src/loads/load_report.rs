//! The load report that a node sends to its hub.

use std::collections;

use pier_types::ids;
use serde::{Deserialize, Serialize};

use crate::loads;

/// A node's own load at each target that it uses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The node that sent the report.
    pub node: ids::NodeName,
    /// Random identifier of this run of the node. Digests use it instead of the node's name, which
    /// would make up most of their bytes.
    pub tag: u32,
    /// Sequence number; rises with each report until the node restarts.
    pub number: u64,
    /// The node's load by target.
    pub loads: collections::BTreeMap<ids::VmName, loads::TargetLoad>,
    /// Targets that this node finds stuck.
    pub stuck: collections::BTreeSet<ids::VmName>,
}
