//! A target that may receive new work.

use std::net;

use crate::{epochs, ids, routes, sizes};

/// A target that this node considers to be serving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// The group or VM.
    pub target: ids::TargetId,
    /// The address that its requests are sent to.
    pub address: net::SocketAddr,
    /// The data centre of the target.
    pub data_centre: ids::DataCentreName,
    /// The generation of the group, sent with each request as the fencing number.
    pub generation: epochs::GroupGeneration,
    /// This node's share of the target's in-flight limit; with 0 the node sends it no new work.
    pub share: sizes::RequestCount,
    /// The last load report.
    pub load: routes::TargetLoad,
}
