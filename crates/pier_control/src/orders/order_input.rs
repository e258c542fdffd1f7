//! What the orders follow from.

use std::collections;

use pier_types::{ids, times, vms};

use crate::{health, leases, placements};

/// The input of one run.
#[derive(Debug, Clone, Copy)]
pub struct OrderInput<'a> {
    /// The placement in force, as this node wrote or read it.
    pub placement: &'a placements::DataCentrePlacement,
    /// The platform's list, for the addresses of VMs without a group.
    pub vms: &'a [vms::VmEntry],
    /// The newest evidence of each VM.
    pub evidence: &'a collections::BTreeMap<ids::VmName, health::VmEvidence>,
    /// Groups that may read weights now.
    pub admitted: &'a collections::BTreeSet<u64>,
    /// The lease, if this node holds it.
    pub grant: Option<leases::LeaseGrant>,
    /// The present time.
    pub now: times::BootTime,
}
