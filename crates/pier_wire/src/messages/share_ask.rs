//! A request for shares of targets' limits.

use pier_types::{epochs, sizes};
use serde::{Deserialize, Serialize};

use crate::messages;

/// Requests shares of targets' limits from the lease holder, and reports their current use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareAsk {
    /// Increases with each request of this node; the reply repeats it.
    pub round: u64,
    /// The lease term of the node that receives the request.
    pub term: epochs::LeaseTerm,
    /// Number of entries of the whole round, over all datagrams into which it was split.
    pub total: u32,
    /// One entry for each target of which the node has or wants a share. A target that is missing
    /// from a round has been given up by the node.
    pub entries: Vec<AskEntry>,
}

/// A node's use of one target and the share that it wants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AskEntry {
    /// The key of the target in its current generation.
    pub key: messages::ShareKey,
    /// Maximum number of requests that the node will have in flight until this request is answered.
    pub keep: sizes::RequestCount,
    /// Number of requests in flight beyond the node's fixed part of the limit.
    pub running: sizes::RequestCount,
    /// The share that the node wants.
    pub wanted: sizes::RequestCount,
}
