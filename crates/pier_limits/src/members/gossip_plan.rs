//! One round of gossip.

use std::{collections, net};

use pier_wire::messages;

/// What to send where in one round.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GossipPlan {
    /// The receivers' addresses.
    pub receivers: collections::BTreeSet<net::SocketAddr>,
    /// The entries to send to each, the own one first.
    pub entries: Vec<messages::MemberEntry>,
}
