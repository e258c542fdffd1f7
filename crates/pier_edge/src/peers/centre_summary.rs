//! Summary of a data centre's heartbeats for the other data centres.

use std::net;

use pier_types::{epochs, ids};
use serde::{Deserialize, Serialize};

use crate::peers;

/// The last heartbeats of some nodes of a data centre, without their loads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CentreSummary {
    pub data_centre: ids::DataCentreName,
    /// Whether the receiver forwards it to the nodes of its data centre.
    pub is_to_forward: bool,
    /// The services that the nodes name by their position here.
    pub services: Vec<ids::ServiceName>,
    pub nodes: Vec<NodeSummary>,
}

/// The last heartbeat of one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct NodeSummary {
    pub node: ids::NodeName,
    /// Address of the node's port for datagrams.
    pub peers: net::SocketAddr,
    /// Address of the node's port for other nodes' requests.
    pub forwards: net::SocketAddr,
    pub format: peers::PeerFormat,
    /// Milliseconds since the heartbeat.
    pub age_ms: u32,
    /// Number of the heartbeat.
    pub number: u64,
    pub document: epochs::ConfigVersion,
    pub phase: peers::NodePhase,
    pub reaches_store: bool,
    pub has_served: bool,
    pub stuck: Vec<ids::VmName>,
    pub retiring: Vec<ids::VmName>,
    /// Positions of the services of which a target answered the node recently.
    pub reached: Vec<u16>,
}

impl CentreSummary {
    /// Splits heartbeats into summaries of at most `limit` nodes.
    pub(crate) fn split(
        data_centre: &ids::DataCentreName,
        heard: &[peers::HeardBeat],
        limit: usize,
    ) -> Vec<Self> {
        let chunks = heard.chunks(limit.max(1));
        let summaries = chunks.map(|chunk| {
            let mut summary = Self {
                data_centre: data_centre.clone(),
                is_to_forward: true,
                services: Vec::new(),
                nodes: Vec::new(),
            };
            for heard in chunk {
                summary.add(heard);
            }
            summary
        });
        summaries.collect()
    }

    fn add(&mut self, heard: &peers::HeardBeat) {
        let beat = &heard.beat;
        let reached = beat.reached.iter().filter_map(|service| {
            let known = self.services.iter().position(|known| known == service);
            let position = known.unwrap_or_else(|| {
                self.services.push(service.clone());
                self.services.len() - 1
            });
            u16::try_from(position).ok()
        });
        let reached = reached.collect();
        self.nodes.push(NodeSummary {
            node: beat.node.clone(),
            peers: heard.address,
            forwards: beat.forwards,
            format: heard.format,
            age_ms: u32::try_from(heard.age.as_millis()).unwrap_or(u32::MAX),
            number: beat.number,
            document: beat.document,
            phase: beat.phase,
            reaches_store: beat.reaches_store,
            has_served: beat.has_served,
            stuck: beat.stuck.clone(),
            retiring: beat.retiring.clone(),
            reached,
        });
    }

    /// Returns the heartbeats; a position without a service is left out.
    pub(crate) fn into_beats(self) -> Vec<peers::HeardBeat> {
        let (data_centre, services) = (self.data_centre, self.services);
        let beats = self.nodes.into_iter().map(|summary| {
            let reached = summary.reached.iter();
            let reached = reached.filter_map(|position| services.get(usize::from(*position)));
            peers::HeardBeat {
                address: summary.peers,
                format: summary.format,
                age: std::time::Duration::from_millis(u64::from(summary.age_ms)),
                beat: peers::NodeBeat {
                    reached: reached.cloned().collect(),
                    node: summary.node,
                    data_centre: data_centre.clone(),
                    number: summary.number,
                    document: summary.document,
                    phase: summary.phase,
                    reaches_store: summary.reaches_store,
                    has_served: summary.has_served,
                    loads: Vec::new(),
                    stuck: summary.stuck,
                    retiring: summary.retiring,
                    forwards: summary.forwards,
                },
            }
        });
        beats.collect()
    }
}
