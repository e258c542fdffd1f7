//! How much of a fabric domain answers.

use std::time;

use crate::planning;

/// How much of a domain is silent.
#[derive(Debug, Clone, Copy)]
pub(super) struct DomainSilence {
    /// VMs in the domain.
    pub total: usize,
    /// VMs that do not answer.
    pub silent: usize,
    /// The shortest silence among them.
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
    /// Counts one VM.
    pub fn add(&mut self, vm: &planning::PlanVm, input: &planning::PlanInput<'_>) {
        self.total += 1;
        if let Some(planning::VmCondition::Unreachable { since }) = vm.condition {
            self.silent += 1;
            self.shortest = self.shortest.min(input.now.since(since));
        }
    }
}
