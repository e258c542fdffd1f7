//! An entry of the platform's VM list.

use std::net;

use serde::{Deserialize, Serialize};

use crate::{epochs, ids, vms};

/// One VM in the platform's list, which may be out of date.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The name, which the platform may reuse.
    pub name: ids::VmName,
    /// Distinguishes machines that had the same name.
    pub incarnation: epochs::VmIncarnation,
    /// The HTTP address of its engine or service.
    pub address: net::SocketAddr,
    /// The data centre of the VM.
    pub data_centre: ids::DataCentreName,
    /// The fabric domain that it is connected to.
    pub domain: ids::DomainName,
    /// The kind of work that it is for.
    pub pool: vms::VmPool,
    /// Whether it is about to be removed.
    pub state: vms::VmState,
}
