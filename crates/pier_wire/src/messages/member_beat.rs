//! A node's sign of life.

use pier_types::epochs;
use serde::{Deserialize, Serialize};

/// What a node says of itself to each peer it talks to; the envelope names the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberBeat {
    /// Rises with each interval of the node.
    pub heartbeat: u64,
    /// The highest configuration version that it has seen.
    pub config: epochs::ConfigVersion,
    /// Whether it is shutting down.
    pub draining: bool,
}
