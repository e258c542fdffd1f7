//! Counts the unreachable VMs of a fabric domain.

use std::time;

use crate::planning;

/// How many VMs of a domain are unreachable, and for how long.
#[derive(Debug, Clone, Copy)]
pub(super) struct DomainSilence {
    /// Number of VMs in the domain.
    pub total: usize,
    /// Number of VMs that do not answer probes.
    pub silent: usize,
    /// The shortest time for which one of the silent VMs has not answered.
    pub shortest: time::Duration,
}

impl Default for DomainSilence {
    fn default() -> Self {
        Self {
            total: 0,
            silent: 0,
            shortest: time::Duration::MAX,
        }
    }
}

impl DomainSilence {
    /// Adds one VM of the domain.
    pub fn add(&mut self, vm: &planning::PlanVm, input: &planning::PlanInput<'_>) {
        self.total += 1;
        if let Some(planning::VmCondition::Unreachable { since }) = vm.condition {
            self.silent += 1;
            self.shortest = self.shortest.min(input.now.since(since));
        }
    }
}
