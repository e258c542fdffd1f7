//! The input from which orders are determined.

use std::collections;

use pier_types::{ids, times, vms};

use crate::{health, leases, placements};

/// Everything that determines which orders are due.
#[derive(Debug, Clone, Copy)]
pub struct OrderInput<'a> {
    /// The current placement, as this node wrote or read it.
    pub placement: &'a placements::DataCentrePlacement,
    /// The platform's VM list, for the addresses of VMs without a group.
    pub vms: &'a [vms::VmEntry],
    /// The last answered probe of each VM.
    pub evidence: &'a collections::BTreeMap<ids::VmName, health::VmEvidence>,
    /// Groups that may load weights now.
    pub admitted: &'a collections::BTreeSet<u64>,
    /// The lease, if this node holds it.
    pub grant: Option<leases::LeaseGrant>,
    /// The current time.
    pub now: times::BootTime,
}
