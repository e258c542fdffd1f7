//! The messages of one gossip round.

use std::{collections, net};

use pier_wire::messages;

/// What to send to whom in one gossip round.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GossipPlan {
    /// The addresses of the receivers.
    pub receivers: collections::BTreeSet<net::SocketAddr>,
    /// The entries to send to each receiver, this node's own one first.
    pub entries: Vec<messages::MemberEntry>,
}
