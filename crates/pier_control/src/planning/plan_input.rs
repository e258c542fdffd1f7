//! The input of one planner run.

use std::collections;

use pier_types::{epochs, ids, sizes, times, vms};

use crate::{placements, planning};

/// Everything that one planner run depends on.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// The configured models; the groups of any other model are removed.
    pub wanted: &'a collections::BTreeMap<ids::ModelName, planning::WantedModel>,
    /// The platform's VM list, which may be out of date.
    pub vms: &'a [vms::VmEntry],
    /// The condition of each VM according to probes. A VM without an entry is not added to a group,
    /// and as a member it is replaced only if the VM list shows that it has gone or restarted.
    pub conditions: &'a collections::BTreeMap<ids::VmName, planning::VmCondition>,
    /// The groups that serve now, with the number of requests that each is running.
    pub serving: &'a collections::BTreeMap<u64, sizes::RequestCount>,
    /// Groups with a member that applied an order other than the current one.
    pub mismatched: &'a collections::BTreeSet<u64>,
    /// Groups whose successor's new members have loaded the weights.
    pub ready: &'a collections::BTreeSet<u64>,
    /// The highest group generation that any engine reported.
    pub seen_generation: epochs::GroupGeneration,
    /// The current placement.
    pub present: &'a placements::DataCentrePlacement,
    /// The term of the lease that this node holds during the run.
    pub term: epochs::LeaseTerm,
    /// The current time.
    pub now: times::BootTime,
}
