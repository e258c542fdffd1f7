//! The heartbeat of a node.

use pier_types::epochs;
use serde::{Deserialize, Serialize};

/// The heartbeat that a node sends to its peers; the datagram header names the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberBeat {
    /// Number of the heartbeat; increases with each heartbeat interval of the node.
    pub heartbeat: u64,
    /// The configuration version that the node has in force.
    pub config: epochs::ConfigVersion,
    /// Whether the node is draining before it shuts down.
    pub draining: bool,
}
