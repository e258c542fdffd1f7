//! A group that may serve now.

use std::net;

use pier_types::{epochs, ids, reports, routes, times};

/// A group whose members are all healthy according to this node's probes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServingGroup {
    /// The group.
    pub id: ids::GroupId,
    /// The model that it serves.
    pub model: ids::ModelName,
    /// The fencing number that requests carry.
    pub generation: epochs::GroupGeneration,
    /// The address of its first member's engine.
    pub address: net::SocketAddr,
    /// The least ready state among its members.
    pub state: reports::EngineState,
    /// The first member's load.
    pub load: routes::TargetLoad,
    /// The time until which the probe results of all members are recent enough. No request may be
    /// sent later unless a newer view allows it.
    pub fresh_until: times::BootTime,
}
