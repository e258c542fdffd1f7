//! A target's registration.

use std::{net, time};

use pier_types::{ids, sizes};
use serde::{Deserialize, Serialize};

use crate::targets;

/// Registration that a target wrote to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Name of the VM.
    pub vm: ids::VmName,
    /// Service that the target belongs to.
    pub service: ids::ServiceName,
    /// Address that it listens on.
    pub address: net::SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: ids::DataCentreName,
    /// Requests that it processes concurrently.
    pub slots: sizes::RequestCount,
    /// Whether it is draining.
    pub is_draining: bool,
    /// How much longer it stays cold.
    pub cold_left: time::Duration,
    /// Its incarnation, weights and group.
    pub standing: targets::TargetStanding,
}
