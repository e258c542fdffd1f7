//! A node as seen by another node.

use std::net;

use pier_types::ids;
use serde::{Deserialize, Serialize};

use crate::{messages, seals};

/// What gossip spreads about one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The node's name.
    pub node: ids::NodeName,
    /// The instance of the node.
    pub instance: seals::NodeInstance,
    /// The data centre of the node.
    pub data_centre: ids::DataCentreName,
    /// The address at which its peers reach it.
    pub address: net::SocketAddr,
    /// Its latest known heartbeat.
    pub beat: messages::MemberBeat,
}
