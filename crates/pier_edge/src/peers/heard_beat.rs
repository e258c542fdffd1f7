//! A heartbeat as a node heard it.

use std::{net, time};

use crate::peers;

/// A heartbeat with the address and format of its node, and its age.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct HeardBeat {
    pub address: net::SocketAddr,
    pub format: peers::PeerFormat,
    pub age: time::Duration,
    pub beat: peers::NodeBeat,
}
