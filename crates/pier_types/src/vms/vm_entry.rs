//! One entry of the platform's VM list.

use std::net;

use serde::{Deserialize, Serialize};

use crate::{epochs, ids, vms};

/// One VM of the platform's lagging list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The name, which the platform may reuse.
    pub name: ids::VmName,
    /// Tells apart machines that had the same name.
    pub incarnation: epochs::VmIncarnation,
    /// Where its engine or service listens for HTTP.
    pub address: net::SocketAddr,
    /// The data centre it stands in.
    pub data_centre: ids::DataCentreName,
    /// The fabric domain it is wired to.
    pub domain: ids::DomainName,
    /// What it runs.
    pub pool: vms::VmPool,
    /// Whether it is leaving.
    pub state: vms::VmState,
}
