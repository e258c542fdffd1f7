//! The latest evidence of every VM.

use std::{collections, time};

use pier_types::{ids, times};
use pier_wire::messages;

use crate::probes;

/// A VM is a straggler if it answers this many times slower than the median.
const STRAGGLER_FACTOR: u32 = 5;

/// A VM that answers faster than this is never a straggler.
const STRAGGLER_FLOOR: time::Duration = time::Duration::from_millis(200);

/// Minimum number of VMs in a domain for a decision on the whole domain.
const DOMAIN_LEAST: usize = 2;

/// Backup probers are asked once evidence has reached this percentage of its maximum age.
const OLD_PERCENT: u32 = 75;

/// Time within which a backup's probe is due, is answered, and shows in the table that requests
/// read.
const REFRESH_TIME: time::Duration = time::Duration::from_millis(600);

/// Keeps what is known of each listed VM. A VM without evidence is treated like one with bad
/// evidence.
///
/// ```
/// use std::time;
/// use pier_limits::probes;
/// use pier_types::times;
///
/// let board = probes::EvidenceBoard::new(time::Duration::from_secs(4));
/// assert!(board.evidence(times::BootTime::default()).is_empty());
/// ```
#[derive(Debug)]
pub struct EvidenceBoard {
    bound: time::Duration,
    tracks: collections::BTreeMap<ids::VmName, probes::VmTrack>,
}

impl EvidenceBoard {
    /// Creates an empty board; evidence older than `bound` does not count.
    pub const fn new(bound: time::Duration) -> Self {
        Self {
            bound,
            tracks: collections::BTreeMap::new(),
        }
    }

    /// Records a result whose age counts back from `asked_at`: when this node sent the probe, or
    /// sent the pull that brought the result.
    pub fn observe(
        &mut self,
        result: messages::ProbeResult,
        asked_at: times::BootTime,
    ) -> Option<probes::BoardChange> {
        let probed_at = asked_at.before(result.age);
        let track = self.tracks.entry(result.vm.clone()).or_default();
        match result.outcome {
            Ok(report) if report.vm == result.vm => {
                let found = probes::VmEvidence {
                    report,
                    probed_at,
                    latency: result.latency,
                };
                track.succeed(&result.vm, found, self.bound)
            }
            Ok(_) => {
                track.fail(messages::ProbeFailure::Garbled, probed_at);
                None
            }
            Err(failure) => {
                track.fail(failure, probed_at);
                None
            }
        }
    }

    /// Returns the maximum age of evidence.
    pub const fn bound(&self) -> time::Duration {
        self.bound
    }

    /// Changes the maximum age of evidence to that of the configuration.
    pub const fn set_bound(&mut self, bound: time::Duration) {
        self.bound = bound;
    }

    /// Returns the latest result of a VM, as it is sent to other nodes: a failure if one came
    /// after the latest success.
    pub fn latest(&self, vm: &ids::VmName, now: times::BootTime) -> Option<messages::ProbeResult> {
        self.tracks.get(vm)?.latest(vm, now)
    }

    /// Removes the VMs that are not listed.
    pub fn retain(&mut self, listed: &collections::BTreeSet<ids::VmName>) {
        self.tracks.retain(|vm, _| listed.contains(vm));
    }

    /// Removes all evidence, as needed after this node was paused.
    pub fn clear(&mut self) {
        self.tracks.clear();
    }

    /// Returns the evidence of one VM, if it is fresh.
    pub fn fresh(&self, vm: &ids::VmName, now: times::BootTime) -> Option<&probes::VmEvidence> {
        self.tracks.get(vm)?.fresh(now, self.bound)
    }

    /// Returns the fresh evidence of all VMs, including that of stragglers.
    pub fn evidence(
        &self,
        now: times::BootTime,
    ) -> collections::BTreeMap<ids::VmName, probes::VmEvidence> {
        self.tracks
            .iter()
            .filter_map(|(vm, track)| Some((vm.clone(), track.fresh(now, self.bound)?.clone())))
            .collect()
    }

    /// Returns the health of each VM.
    pub fn standings(
        &self,
        now: times::BootTime,
    ) -> collections::BTreeMap<ids::VmName, probes::VmStanding> {
        let slow = self.straggler_latency(now);
        self.tracks
            .iter()
            .map(|(vm, track)| (vm.clone(), self.standing(track, slow, now)))
            .collect()
    }

    /// Returns the VMs whose evidence will soon expire unless a backup prober brings a newer
    /// result.
    pub fn old(
        &self,
        listed: &collections::BTreeSet<ids::VmName>,
        now: times::BootTime,
    ) -> Vec<ids::VmName> {
        let age = self.bound * OLD_PERCENT / 100;
        self.older_than(
            age.min(self.bound.saturating_sub(REFRESH_TIME)),
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
        let young = |vm: &ids::VmName| {
            let track = self.tracks.get(vm);
            track.is_some_and(|track| track.fresh(now, age).is_some())
        };
        listed.iter().filter(|vm| !young(vm)).cloned().collect()
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
        let failing = |vm: &ids::VmName| {
            let track = self.tracks.get(vm);
            track.is_some_and(probes::VmTrack::failing)
        };
        domains
            .iter()
            .filter(|(_, vms)| vms.len() >= DOMAIN_LEAST && vms.iter().all(failing))
            .map(|(domain, _)| domain.clone())
            .collect()
    }

    /// Returns whether no VM has fresh evidence, so that this node can not judge any VM.
    pub fn is_blind(&self, now: times::BootTime) -> bool {
        let fresh = |track: &probes::VmTrack| track.fresh(now, self.bound).is_some();
        !self.tracks.values().any(fresh)
    }

    fn standing(
        &self,
        track: &probes::VmTrack,
        slow: time::Duration,
        now: times::BootTime,
    ) -> probes::VmStanding {
        match track.fresh(now, self.bound) {
            Some(evidence) if evidence.latency > slow => probes::VmStanding::Straggler,
            Some(_) => probes::VmStanding::Healthy,
            None if track.is_dead(now) => probes::VmStanding::Dead,
            None => probes::VmStanding::Missing,
        }
    }

    fn straggler_latency(&self, now: times::BootTime) -> time::Duration {
        let mut latencies = self
            .tracks
            .values()
            .filter_map(|track| track.fresh(now, self.bound))
            .map(|evidence| evidence.latency)
            .collect::<Vec<_>>();
        latencies.sort_unstable();
        let median = latencies.get(latencies.len() / 2).copied();
        let slow = median.unwrap_or_default() * STRAGGLER_FACTOR;
        slow.max(STRAGGLER_FLOOR)
    }
}
