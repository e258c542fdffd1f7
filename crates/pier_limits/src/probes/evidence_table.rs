//! The latest evidence of every VM.

use std::{collections, time};

use pier_types::{ids, times};
use pier_wire::messages;

use crate::probes;

/// A VM is a straggler if it answers this many times slower than the median.
const STRAGGLER_FACTOR: u32 = 5;

/// A VM that answers faster than this is never a straggler.
const MIN_STRAGGLER_LATENCY: time::Duration = time::Duration::from_millis(200);

/// Minimum number of VMs in a domain for a decision on the whole domain.
const MIN_DOMAIN_VMS: usize = 2;

/// Backup probers are asked once evidence has reached this percentage of its maximum age.
const EXPIRING_PERCENT: u32 = 75;

/// Maximum time from when a backup prober is asked until its result is available to requests: the
/// probe becomes due, is answered, and its result is recorded.
const REFRESH_TIME: time::Duration = time::Duration::from_millis(600);

/// Keeps what is known of each listed VM. A VM without evidence is treated like one with bad
/// evidence.
///
/// ```
/// use std::time;
/// use pier_limits::probes;
/// use pier_types::times;
///
/// let table = probes::EvidenceTable::new(time::Duration::from_secs(4));
/// assert!(table.evidence(times::BootTime::default()).is_empty());
/// ```
#[derive(Debug)]
pub struct EvidenceTable {
    max_age: time::Duration,
    vm_results: collections::BTreeMap<ids::VmName, probes::VmResults>,
}

impl EvidenceTable {
    /// Creates an empty table; evidence older than `max_age` does not count.
    pub const fn new(max_age: time::Duration) -> Self {
        Self {
            max_age,
            vm_results: collections::BTreeMap::new(),
        }
    }

    /// Records a result whose age counts back from `asked_at`: when this node sent the probe, or
    /// sent the pull that brought the result.
    pub fn observe(
        &mut self,
        result: messages::ProbeResult,
        asked_at: times::BootTime,
    ) -> Option<probes::EvidenceChange> {
        let probed_at = asked_at.before(result.age);
        let results = self.vm_results.entry(result.vm.clone()).or_default();
        match result.outcome {
            Ok(report) if report.vm == result.vm => {
                let found = probes::VmEvidence {
                    report,
                    probed_at,
                    latency: result.latency,
                };
                results.record_success(&result.vm, found, self.max_age)
            }
            Ok(_) => {
                results.record_failure(messages::ProbeFailure::Garbled, probed_at);
                None
            }
            Err(failure) => {
                results.record_failure(failure, probed_at);
                None
            }
        }
    }

    /// Returns the maximum age of evidence.
    pub const fn max_age(&self) -> time::Duration {
        self.max_age
    }

    /// Changes the maximum age of evidence to that of the configuration.
    pub const fn set_max_age(&mut self, max_age: time::Duration) {
        self.max_age = max_age;
    }

    /// Returns the latest result of a VM, as it is sent to other nodes: a failure if one came
    /// after the latest success.
    pub fn latest(&self, vm: &ids::VmName, now: times::BootTime) -> Option<messages::ProbeResult> {
        self.vm_results.get(vm)?.latest(vm, now)
    }

    /// Removes the VMs that are not listed.
    pub fn retain(&mut self, listed: &collections::BTreeSet<ids::VmName>) {
        self.vm_results.retain(|vm, _| listed.contains(vm));
    }

    /// Removes all evidence, as needed after this node was paused.
    pub fn clear(&mut self) {
        self.vm_results.clear();
    }

    /// Returns the evidence of one VM, if it is fresh.
    pub fn fresh(&self, vm: &ids::VmName, now: times::BootTime) -> Option<&probes::VmEvidence> {
        self.vm_results.get(vm)?.fresh(now, self.max_age)
    }

    /// Returns the fresh evidence of all VMs, including that of stragglers.
    pub fn evidence(
        &self,
        now: times::BootTime,
    ) -> collections::BTreeMap<ids::VmName, probes::VmEvidence> {
        self.vm_results
            .iter()
            .filter_map(|(vm, results)| {
                Some((vm.clone(), results.fresh(now, self.max_age)?.clone()))
            })
            .collect()
    }

    /// Returns the health of each VM.
    pub fn health_by_vm(
        &self,
        now: times::BootTime,
    ) -> collections::BTreeMap<ids::VmName, probes::VmHealth> {
        let slow = self.straggler_latency(now);
        self.vm_results
            .iter()
            .map(|(vm, results)| (vm.clone(), self.health(results, slow, now)))
            .collect()
    }

    /// Returns the VMs whose evidence will soon expire unless a backup prober brings a newer
    /// result.
    pub fn expiring(
        &self,
        listed: &collections::BTreeSet<ids::VmName>,
        now: times::BootTime,
    ) -> Vec<ids::VmName> {
        let age = self.max_age * EXPIRING_PERCENT / 100;
        self.older_than(
            age.min(self.max_age.saturating_sub(REFRESH_TIME)),
            listed,
            now,
        )
    }

    /// Returns the listed VMs that have no fresh evidence of at most the given age, so that their
    /// backup probers have to be asked.
    pub fn older_than(
        &self,
        age: time::Duration,
        listed: &collections::BTreeSet<ids::VmName>,
        now: times::BootTime,
    ) -> Vec<ids::VmName> {
        let recent = |vm: &ids::VmName| {
            let results = self.vm_results.get(vm);
            results.is_some_and(|results| results.fresh(now, age).is_some())
        };
        listed.iter().filter(|vm| !recent(vm)).cloned().collect()
    }

    /// Returns the domains in which the latest probe of every VM failed. This detects the failure
    /// of a domain long before any single VM counts as dead. Returns none if no VM answers at
    /// all, because then this node is the one that is cut off.
    pub fn dark_domains(
        &self,
        domains: &collections::BTreeMap<ids::DomainName, Vec<ids::VmName>>,
        now: times::BootTime,
    ) -> Vec<ids::DomainName> {
        if self.is_blind(now) {
            return Vec::new();
        }
        let is_failing = |vm: &ids::VmName| {
            let results = self.vm_results.get(vm);
            results.is_some_and(probes::VmResults::is_failing)
        };
        domains
            .iter()
            .filter(|(_, vms)| vms.len() >= MIN_DOMAIN_VMS && vms.iter().all(is_failing))
            .map(|(domain, _)| domain.clone())
            .collect()
    }

    /// Returns whether no VM has fresh evidence, so that this node cannot assess any VM.
    pub fn is_blind(&self, now: times::BootTime) -> bool {
        let fresh = |results: &probes::VmResults| results.fresh(now, self.max_age).is_some();
        !self.vm_results.values().any(fresh)
    }

    fn health(
        &self,
        results: &probes::VmResults,
        slow: time::Duration,
        now: times::BootTime,
    ) -> probes::VmHealth {
        match results.fresh(now, self.max_age) {
            Some(evidence) if evidence.latency > slow => probes::VmHealth::Straggler,
            Some(_) => probes::VmHealth::Healthy,
            None if results.is_dead(now) => probes::VmHealth::Dead,
            None => probes::VmHealth::Missing,
        }
    }

    fn straggler_latency(&self, now: times::BootTime) -> time::Duration {
        let mut latencies = self
            .vm_results
            .values()
            .filter_map(|results| results.fresh(now, self.max_age))
            .map(|evidence| evidence.latency)
            .collect::<Vec<_>>();
        latencies.sort_unstable();
        let median = latencies.get(latencies.len() / 2).copied();
        let slow = median.unwrap_or_default() * STRAGGLER_FACTOR;
        slow.max(MIN_STRAGGLER_LATENCY)
    }
}
