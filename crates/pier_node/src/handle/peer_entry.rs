//! A peer: another node that is considered alive.

use std::net;

use pier_types::ids;

/// Another node that is considered alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerEntry {
    /// Its name.
    pub node: ids::NodeName,
    /// Its data centre.
    pub data_centre: ids::DataCentreName,
    /// The address for datagrams and forwarded requests.
    pub address: net::SocketAddr,
    /// Whether it is draining before it stops.
    pub draining: bool,
    /// Whether requests may be forwarded to it. A node of the local data centre needs recent direct
    /// contact, as one known only from other nodes' messages may be unreachable from here. Nodes of
    /// other data centres always qualify, as this node has direct contact with only a few of them.
    pub accepts_forwards: bool,
}
