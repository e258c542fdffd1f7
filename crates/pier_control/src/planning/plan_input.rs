//! All that one run of the planner looks at.

use std::collections;

use pier_types::{epochs, ids, sizes, times, vms};

use crate::{placements, planning};

/// The input of one run.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// What the configuration asks for; a model that is missing here loses its groups.
    pub wanted: &'a collections::BTreeMap<ids::ModelName, planning::WantedModel>,
    /// The platform's list, as old as it may be.
    pub vms: &'a [vms::VmEntry],
    /// What probes tell; a VM without an entry is neither used anew nor replaced.
    pub conditions: &'a collections::BTreeMap<ids::VmName, planning::VmCondition>,
    /// The groups that serve now, with the requests that they run.
    pub serving: &'a collections::BTreeMap<u64, sizes::RequestCount>,
    /// Groups of which a member obeyed an order that is not the present one.
    pub mismatched: &'a collections::BTreeSet<u64>,
    /// Groups whose successor's new members hold the weights.
    pub ready: &'a collections::BTreeSet<u64>,
    /// The highest generation that any engine reported.
    pub seen_generation: epochs::GroupGeneration,
    /// The placement in force.
    pub present: &'a placements::DataCentrePlacement,
    /// The term of the lease under which the run happens.
    pub term: epochs::LeaseTerm,
    /// The present time.
    pub now: times::BootTime,
}
