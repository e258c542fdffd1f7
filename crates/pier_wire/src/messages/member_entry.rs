//! What one node knows of another.

use std::net;

use pier_types::ids;
use serde::{Deserialize, Serialize};

use crate::{messages, seals};

/// One node, as gossip passes it on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The node's name.
    pub node: ids::NodeName,
    /// The run of the node.
    pub instance: seals::NodeInstance,
    /// The data centre it stands in.
    pub data_centre: ids::DataCentreName,
    /// Where its peers reach it.
    pub address: net::SocketAddr,
    /// Its last sign of life.
    pub beat: messages::MemberBeat,
}
