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
    /// Whether requests may be forwarded to it. A node of the local data centre that is known only
    /// through others may be cut off from this node, so it gets none. Nodes of other data centres
    /// always may, as only a few of them are heard directly.
    pub accepts_forwards: bool,
}
