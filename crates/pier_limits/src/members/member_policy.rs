//! Times and bounds of membership.

use std::time;

/// When nodes are suspected and forgotten, and how many are remembered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberPolicy {
    /// Silence after which a node is suspected.
    pub suspect_after: time::Duration,
    /// Silence after which a node is forgotten.
    pub forget_after: time::Duration,
    /// Nodes of the own data centre that are remembered.
    pub own_capacity: usize,
    /// Nodes of each other data centre that are remembered.
    pub other_capacity: usize,
    /// Nodes of a data centre that speak across.
    pub delegates: usize,
    /// Peers that each round of gossip goes to.
    pub fanout: usize,
    /// Entries of others in each round of gossip.
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
