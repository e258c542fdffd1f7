//! Messages and records of nodes.

use std::net;

use pier_fleet::loads;
use pier_types::{epochs, ids};
use serde::{Deserialize, Serialize};

use crate::peers;

/// What nodes send one another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    Beat(NodeBeat),
    Relay(peers::RelayBeat),
    /// A node's load, for the hub of its data centre.
    Report(loads::LoadReport),
    /// A hub's sums, for the nodes of its data centre and the other hubs.
    Digest(loads::LoadDigest),
}

/// What a node tells all others several times a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct NodeBeat {
    pub node: ids::NodeName,
    pub data_centre: ids::DataCentreName,
    /// Rises with each beat of one start.
    pub number: u64,
    /// Version of the document that the node has in force.
    pub document: epochs::ConfigVersion,
    /// Whether the node stops and plans nothing more.
    pub is_leaving: bool,
    /// Whether the store answered the node of late.
    pub reaches_store: bool,
    /// Whether the node has served a request, so that loads count.
    pub has_served: bool,
    pub loads: Vec<(ids::VmName, loads::TargetLoad)>,
    /// Targets that move nothing, by this node's own evidence.
    pub stuck: Vec<ids::VmName>,
    /// First members that take no new requests, told by the steward.
    pub retiring: Vec<ids::VmName>,
}

/// A node's record in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct NodeRecord {
    pub node: ids::NodeName,
    pub data_centre: ids::DataCentreName,
    pub peers: net::SocketAddr,
}

/// The record that names a data centre's planner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StewardRecord {
    pub holder: ids::NodeName,
    pub term: epochs::LeaseTerm,
}
