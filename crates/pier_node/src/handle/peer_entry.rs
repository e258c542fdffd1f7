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
    /// Whether requests may be passed on to it. A node of the own data centre that is known only
    /// through others may be cut off from this one; elsewhere only a few nodes are heard directly.
    pub accepts_forwards: bool,
}
