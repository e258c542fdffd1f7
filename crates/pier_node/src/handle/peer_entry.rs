//! Another node.

use std::net;

use pier_types::ids;

/// Another node that is thought alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerEntry {
    /// Its name.
    pub node: ids::NodeName,
    /// Its data centre.
    pub data_centre: ids::DataCentreName,
    /// Where it takes datagrams and forwarded requests.
    pub address: net::SocketAddr,
    /// Whether it is about to stop.
    pub draining: bool,
}
