//! One target that may receive new work.

use std::net;

use crate::{epochs, ids, routes, sizes};

/// A target that serves now, as this node sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// The group or VM.
    pub target: ids::TargetId,
    /// Where its requests are sent.
    pub address: net::SocketAddr,
    /// The data centre it stands in.
    pub data_centre: ids::DataCentreName,
    /// The generation of the group, sent with each request as the fencing number.
    pub generation: epochs::GroupGeneration,
    /// How many requests this node may have in flight there; 0 keeps new work away.
    pub share: sizes::RequestCount,
    /// The last load report.
    pub load: routes::TargetLoad,
}
