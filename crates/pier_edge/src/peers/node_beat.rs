//! Datagrams between nodes, and the nodes' records in the store.

use std::net;

use pier_fleet::loads;
use pier_request::{prompt_parts, quarantine};
use pier_types::{epochs, ids, rates};
use serde::{Deserialize, Serialize};

use crate::peers;

/// A message between nodes. It is encoded by position: variants are only added at the end, and the
/// fields of those that exist never change. Later fields go into [`peers::MessageExtension`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    Beat(NodeBeat),
    Relay(peers::RelayBeat),
    /// A node's load, for the hub of its data centre.
    Report(loads::LoadReport),
    /// A hub's sums, for the nodes of its data centre and the other hubs.
    Digest(loads::LoadDigest),
    /// Marks of requests whose targets crashed.
    Crashes(quarantine::CrashDelta),
    /// Targets that stated in answers to the sender that they leave.
    Leaving(Vec<LeavingTarget>),
    /// Marks of parts of prompts that were on crashed targets.
    PartCrashes(prompt_parts::PartDelta),
    /// The heartbeats of another data centre's nodes.
    Summary(peers::CentreSummary),
    /// Content that the receiver forwards to the nodes of its data centre.
    Broadcast(BroadcastContent),
}

/// Content for every node of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum BroadcastContent {
    Crashes(quarantine::CrashDelta),
    PartCrashes(prompt_parts::PartDelta),
    Leaving(Vec<LeavingTarget>),
}

impl From<BroadcastContent> for PeerMessage {
    fn from(content: BroadcastContent) -> Self {
        match content {
            BroadcastContent::Crashes(delta) => Self::Crashes(delta),
            BroadcastContent::PartCrashes(delta) => Self::PartCrashes(delta),
            BroadcastContent::Leaving(notices) => Self::Leaving(notices),
        }
    }
}

impl PeerMessage {
    /// Number of the kinds of messages that this build knows.
    pub(crate) const KINDS: u8 = 9;

    /// Returns the kind's name in metrics.
    pub(crate) const fn label(&self) -> &'static str {
        match self {
            Self::Beat(_) => "beat",
            Self::Relay(_) => "relay",
            Self::Report(_) => "report",
            Self::Digest(_) => "digest",
            Self::Crashes(_) => "crashes",
            Self::Leaving(_) => "leaving",
            Self::PartCrashes(_) => "part-crashes",
            Self::Summary(_) => "summary",
            Self::Broadcast(_) => "broadcast",
        }
    }

    /// Returns the loads at targets, in the order of their encoding.
    pub(crate) fn loads(&self) -> impl Iterator<Item = &loads::TargetLoad> {
        let (beat, report, digest) = match self {
            Self::Beat(beat) => (Some(beat), None, None),
            Self::Report(report) => (None, Some(report), None),
            Self::Digest(digest) => (None, None, Some(digest)),
            _ => (None, None, None),
        };
        let beat = beat.into_iter().flat_map(|beat| &beat.loads);
        let report = report.into_iter().flat_map(|report| report.loads.values());
        let digest = digest.into_iter();
        let digest = digest.flat_map(|digest| digest.local.values().chain(digest.remote.values()));
        beat.map(|(_vm, load)| load).chain(report).chain(digest)
    }

    /// Returns the loads of [`Self::loads`] for changing.
    pub(crate) fn loads_mut(&mut self) -> impl Iterator<Item = &mut loads::TargetLoad> {
        let (beat, report, digest) = match self {
            Self::Beat(beat) => (Some(beat), None, None),
            Self::Report(report) => (None, Some(report), None),
            Self::Digest(digest) => (None, None, Some(digest)),
            _ => (None, None, None),
        };
        let beat = beat.into_iter().flat_map(|beat| &mut beat.loads);
        let report = report.into_iter();
        let report = report.flat_map(|report| report.loads.values_mut());
        let digest = digest.into_iter().flat_map(|digest| {
            let local = digest.local.values_mut();
            local.chain(digest.remote.values_mut())
        });
        beat.map(|(_vm, load)| load).chain(report).chain(digest)
    }
}

/// A start of a VM that leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeavingTarget {
    pub vm: ids::VmName,
    pub born: epochs::VmIncarnation,
}

/// A rate that a target stated, for the other nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LimitNotice {
    pub vm: ids::VmName,
    pub born: epochs::VmIncarnation,
    /// Requests that the target takes from all nodes; `None` if it takes any number again.
    pub rate: Option<rates::RequestMilliRate>,
    /// Milliseconds since the target's answer.
    pub age_ms: u32,
}

/// Whether a node can be a steward or a hub.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum NodePhase {
    /// The node can be both.
    Serving,
    /// The node has reached no target for a while, so it can be neither.
    Isolated,
    /// The node is stopping, so it can be neither.
    Leaving,
}

/// A heartbeat, which a node sends to all others several times per second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct NodeBeat {
    pub node: ids::NodeName,
    pub data_centre: ids::DataCentreName,
    /// Number of the heartbeat, rising within one start of the node.
    pub number: u64,
    /// Version of the document that the node has in force.
    pub document: epochs::ConfigVersion,
    pub phase: NodePhase,
    /// Whether the store answered the node recently.
    pub reaches_store: bool,
    /// Whether the node has served a request; the rate of weight loads is limited only from then
    /// on.
    pub has_served: bool,
    pub loads: Vec<(ids::VmName, loads::TargetLoad)>,
    /// Targets that the node found stuck.
    pub stuck: Vec<ids::VmName>,
    /// First members that take no new requests, according to the node's plans as a steward.
    pub retiring: Vec<ids::VmName>,
    /// Address of the node's port for other nodes' requests.
    pub forwards: net::SocketAddr,
    /// Services of which a target answered the node recently.
    pub reached: Vec<ids::ServiceName>,
}

/// A node's record in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct NodeRecord {
    pub node: ids::NodeName,
    pub data_centre: ids::DataCentreName,
    pub peers: net::SocketAddr,
    /// Format of the messages that the node sends; builds before [`peers::PeerFormat::SUMMARIES`]
    /// write none.
    #[serde(default = "unnumbered")]
    pub format: peers::PeerFormat,
}

const fn unnumbered() -> peers::PeerFormat {
    peers::PeerFormat::UNNUMBERED
}

/// The record that names a data centre's steward: the elected node that plans its groups and
/// relays the store's changes to its nodes. `term` rises with each election.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StewardRecord {
    pub holder: ids::NodeName,
    pub term: epochs::LeaseTerm,
}
