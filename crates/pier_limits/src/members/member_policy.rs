//! Time-outs and limits of the membership.

use std::time;

/// When nodes are suspected and forgotten, and how many are kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberPolicy {
    /// Time without a new heartbeat after which a node is suspected.
    pub suspect_after: time::Duration,
    /// Time without a new heartbeat after which a node is forgotten.
    pub forget_after: time::Duration,
    /// Maximum number of known nodes in this node's data centre.
    pub own_capacity: usize,
    /// Maximum number of known nodes in each other data centre.
    pub other_capacity: usize,
    /// Number of nodes of a data centre that exchange gossip with other data centres.
    pub delegates: usize,
    /// Number of nodes that each gossip round is sent to, in this data centre and, by a delegate,
    /// in the others.
    pub fanout: usize,
    /// Number of other nodes' entries in each gossip round.
    pub sample: usize,
}

impl Default for MemberPolicy {
    fn default() -> Self {
        Self {
            suspect_after: time::Duration::from_secs(3),
            forget_after: time::Duration::from_secs(30),
            own_capacity: 256,
            other_capacity: 8,
            delegates: 3,
            fanout: 2,
            sample: 6,
        }
    }
}
