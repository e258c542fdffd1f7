//! The freshest evidence of every VM.

use std::{collections, time};

use pier_types::{ids, times};
use pier_wire::messages;

use crate::probes;

/// How many times slower than the median a straggler answers.
const STRAGGLER_FACTOR: u32 = 5;

/// Answers faster than this are never a straggler's.
const STRAGGLER_FLOOR: time::Duration = time::Duration::from_millis(200);

/// Fewest VMs of a domain for a judgement on the whole domain.
const DOMAIN_LEAST: usize = 2;

/// Backup probers are asked once evidence has reached this part of the age up to which it counts,
/// in percent.
const OLD_PERCENT: u32 = 75;

/// Time in which a backup's probe is due, is answered, and shows in the table that requests read.
const REFRESH_TIME: time::Duration = time::Duration::from_millis(600);

/// Keeps what is known of each listed VM; no evidence is the same as bad evidence.
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
    /// Creates an empty board; evidence older than the bound does not count.
    pub const fn new(bound: time::Duration) -> Self {
        Self {
            bound,
            tracks: collections::BTreeMap::new(),
        }
    }

    /// Takes in a result whose age counts back from `asked_at`: when this node sent the probe, or
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

    /// Returns the age up to which evidence counts.
    pub const fn bound(&self) -> time::Duration {
        self.bound
    }

    /// Changes the age up to which evidence counts, as the configuration says.
    pub const fn set_bound(&mut self, bound: time::Duration) {
        self.bound = bound;
    }

    /// Returns the latest result of a VM as it is told to others: a later failure stands before
    /// the evidence it denies.
    pub fn latest(&self, vm: &ids::VmName, now: times::BootTime) -> Option<messages::ProbeResult> {
        self.tracks.get(vm)?.latest(vm, now)
    }

    /// Forgets the VMs that are not listed.
    pub fn retain(&mut self, listed: &collections::BTreeSet<ids::VmName>) {
        self.tracks.retain(|vm, _| listed.contains(vm));
    }

    /// Drops all evidence, as after a pause of this node.
    pub fn clear(&mut self) {
        self.tracks.clear();
    }

    /// Returns the fresh evidence of one VM.
    pub fn fresh(&self, vm: &ids::VmName, now: times::BootTime) -> Option<&probes::VmEvidence> {
        self.tracks.get(vm)?.fresh(now, self.bound)
    }

    /// Returns the fresh evidence, that of stragglers included.
    pub fn evidence(
        &self,
        now: times::BootTime,
    ) -> collections::BTreeMap<ids::VmName, probes::VmEvidence> {
        self.tracks
            .iter()
            .filter_map(|(vm, track)| Some((vm.clone(), track.fresh(now, self.bound)?.clone())))
            .collect()
    }

    /// Returns how each VM stands.
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

    /// Returns the VMs whose evidence will soon be too old unless a backup prober brings newer one.
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

    /// Returns the VMs without evidence of a given youth; their backup probers are to be asked.
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

    /// Returns the domains whose every VM failed its latest probe, long before any single one
    /// counts as dead; none when no VM answers at all, as then this node is the one cut off.
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

    /// Returns whether no VM answers, so that this node can tell nothing of any.
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
