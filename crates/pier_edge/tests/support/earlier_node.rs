//! A node of a build that has landed, with its messages as they were.

use std::{net, time};

use pier_types::{epochs, ids};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use super::{FakePlatform, free_address};

/// Load at one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EarlierLoad {
    pub running: u32,
    pub waiting: u32,
    pub waiting_prompt: u64,
}

/// The heartbeat of commit 7a64715.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FirstBeat {
    pub node: ids::NodeName,
    pub data_centre: ids::DataCentreName,
    pub number: u64,
    pub document: epochs::ConfigVersion,
    pub is_leaving: bool,
    pub reaches_store: bool,
    pub has_served: bool,
    pub loads: Vec<(ids::VmName, EarlierLoad)>,
    pub stuck: Vec<ids::VmName>,
    pub retiring: Vec<ids::VmName>,
}

/// Whether a node of commit d02f8a5 can be a steward.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum EarlierPhase {
    Serving,
    Isolated,
    Leaving,
}

/// The heartbeat of commit d02f8a5.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EarlierBeat {
    pub node: ids::NodeName,
    pub data_centre: ids::DataCentreName,
    pub number: u64,
    pub document: epochs::ConfigVersion,
    pub phase: EarlierPhase,
    pub reaches_store: bool,
    pub has_served: bool,
    pub loads: Vec<(ids::VmName, EarlierLoad)>,
    pub stuck: Vec<ids::VmName>,
    pub retiring: Vec<ids::VmName>,
    pub forwards: net::SocketAddr,
    pub reached: Vec<ids::ServiceName>,
}

/// The record of a steward, in its messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EarlierSteward {
    pub holder: ids::NodeName,
    pub term: epochs::LeaseTerm,
}

/// A steward's message about the store, without changes of registrations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EarlierRelay {
    pub node: ids::NodeName,
    pub data_centre: ids::DataCentreName,
    pub store_age_ms: u32,
    pub out_of_service: Vec<ids::DataCentreName>,
    pub stewards: Vec<(ids::DataCentreName, EarlierSteward, epochs::ObjectVersion)>,
    pub from: epochs::ObjectVersion,
    pub to: epochs::ObjectVersion,
    pub changes: Vec<()>,
}

/// The first kinds of messages of commit d02f8a5.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EarlierMessage {
    Beat(EarlierBeat),
    Relay(EarlierRelay),
}

/// A node that sends heartbeats of commit d02f8a5 and keeps the ones that it reads.
pub struct EarlierNode {
    pub socket: UdpSocket,
    pub name: ids::NodeName,
    data_centre: ids::DataCentreName,
    number: u64,
}

impl EarlierNode {
    /// Opens its port and writes its record into the store, without a format.
    pub async fn start(platform: &FakePlatform, name: &str, data_centre: &str) -> Self {
        let socket = UdpSocket::bind(free_address()).await.unwrap();
        let address = socket.local_addr().unwrap();
        let record = format!(
            "{{\"node\":\"{name}\",\"data_centre\":\"{data_centre}\",\"peers\":\"{address}\"}}"
        );
        platform.put_node(&format!("node.{name}"), &record);
        Self {
            socket,
            name: name.parse().unwrap(),
            data_centre: data_centre.parse().unwrap(),
            number: 0,
        }
    }

    /// Returns its next heartbeat.
    pub fn beat(&mut self, document: u64) -> EarlierBeat {
        self.number += 1;
        EarlierBeat {
            node: self.name.clone(),
            data_centre: self.data_centre.clone(),
            number: self.number,
            document: epochs::ConfigVersion::new(document),
            phase: EarlierPhase::Serving,
            reaches_store: true,
            has_served: true,
            loads: Vec::new(),
            stuck: Vec::new(),
            retiring: Vec::new(),
            forwards: free_address(),
            reached: Vec::new(),
        }
    }

    pub async fn send(&self, message: &EarlierMessage, to: net::SocketAddr) {
        let bytes = postcard::to_stdvec(message).unwrap();
        self.socket.send_to(&bytes, to).await.unwrap();
    }

    /// Returns the messages that arrive within a time, decoded as commit d02f8a5 did: bytes after a
    /// message are ignored, unknown kinds are left out.
    pub async fn receive(&self, limit: time::Duration) -> Vec<EarlierMessage> {
        let end = tokio::time::Instant::now() + limit;
        let mut messages = Vec::new();
        let mut buffer = vec![0; 65_536];
        loop {
            let receiving = self.socket.recv_from(&mut buffer);
            let Ok(received) = tokio::time::timeout_at(end, receiving).await else {
                return messages;
            };
            let (length, _from) = received.unwrap();
            messages.extend(postcard::from_bytes(&buffer[..length]).ok());
        }
    }
}
