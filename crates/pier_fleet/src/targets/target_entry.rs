//! A target's registration.

use std::{net, time};

use pier_types::{ids, sizes};
use serde::{Deserialize, Serialize};

use crate::targets;

/// What a target wrote about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Id of the VM.
    pub vm: ids::VmName,
    /// Service that it works for.
    pub service: ids::ServiceName,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Where it stands.
    pub data_centre: ids::DataCentreName,
    /// Requests that it works on at once.
    pub slots: sizes::RequestCount,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// How much longer it stays cold.
    pub cold_left: time::Duration,
    /// Its start, weights and group.
    pub standing: targets::TargetStanding,
}
