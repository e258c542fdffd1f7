//! A group that may serve now.

use std::net;

use pier_types::{epochs, ids, reports, routes, times};

/// A group of which every member is well, as this node sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServingGroup {
    /// The group.
    pub id: ids::GroupId,
    /// The model that it serves.
    pub model: ids::ModelName,
    /// The fencing number that requests carry.
    pub generation: epochs::GroupGeneration,
    /// Where its first member listens.
    pub address: net::SocketAddr,
    /// The state of its coldest member.
    pub state: reports::EngineState,
    /// The first member's load.
    pub load: routes::TargetLoad,
    /// The last moment at which the evidence of all members is fresh; nothing may be sent later
    /// unless a newer view allows it.
    pub fresh_until: times::BootTime,
}
