//! A node to which requests can be passed on.

use std::net;

use pier_types::ids;

/// A live node that reaches targets of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Forwarder {
    pub node: ids::NodeName,
    /// Address of its port for other nodes' requests.
    pub address: net::SocketAddr,
    /// Whether it is in this node's data centre.
    pub is_local: bool,
}
