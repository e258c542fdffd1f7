//! Counts the unreachable VMs of a fabric domain.

use std::time;

use crate::planning;

/// How many VMs of a domain are unreachable, and for how long.
#[derive(Debug, Clone, Copy)]
pub(super) struct DomainReachability {
    /// Number of VMs in the domain.
    pub total: usize,
    /// Number of VMs that do not answer probes.
    pub unreachable: usize,
    /// The shortest time for which one of the silent VMs has not answered.
    pub shortest_silence: time::Duration,
}

impl Default for DomainReachability {
    fn default() -> Self {
        Self {
            total: 0,
            unreachable: 0,
            shortest_silence: time::Duration::MAX,
        }
    }
}

impl DomainReachability {
    /// Adds one VM of the domain.
    pub fn add(&mut self, vm: &planning::PlanVm, input: &planning::PlanInput<'_>) {
        self.total += 1;
        if let Some(planning::VmCondition::Unreachable { since }) = vm.condition {
            self.unreachable += 1;
            self.shortest_silence = self.shortest_silence.min(input.now.since(since));
        }
    }
}
