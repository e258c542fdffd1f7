//! The crash marks that this node knows.

use std::{cmp, collections, time};

use pier_types::{epochs, ids, times};

use crate::{marks, quarantine};

/// Identifies a mark.
type MarkKey = (
    ids::RequestFingerprint,
    ids::TargetId,
    epochs::GroupGeneration,
);

/// Collects marks of the requests that ran on crashed targets, from this node and from others.
///
/// One task owns it; requests read the [`QuarantineSet`](quarantine::QuarantineSet) it publishes.
///
/// ```
/// use pier_request::quarantine;
/// use pier_types::{epochs, ids, times};
///
/// let bad = ids::RequestFingerprint::of("college", "/v1/completions", b"crash");
/// let now = times::BootTime::from_millis(5);
/// let mut history = quarantine::CrashHistory::default();
/// for name in ["vm-1", "vm-2"] {
///     let target = ids::TargetId::Vm(name.parse()?);
///     let cause = quarantine::LossCause::ProcessLost;
///     history.record_loss(&target, epochs::GroupGeneration::new(1), cause, &[bad], 1, now);
/// }
/// assert!(history.snapshot(now).remaining(bad, now).is_some());
/// # Ok::<(), ids::NameError>(())
/// ```
#[derive(Debug, Default)]
pub struct CrashHistory {
    marks: marks::MarkTable<MarkKey, quarantine::SuspectCount>,
}

impl CrashHistory {
    /// Marks the requests that ran on a target when its process was lost; other causes are ignored.
    ///
    /// `reported` is the number of requests in the target's last report, which includes the
    /// requests of other nodes: they are suspects too.
    pub fn record_loss(
        &mut self,
        target: &ids::TargetId,
        generation: epochs::GroupGeneration,
        cause: quarantine::LossCause,
        in_flight: &[ids::RequestFingerprint],
        reported: u32,
        now: times::BootTime,
    ) {
        if cause != quarantine::LossCause::ProcessLost {
            return;
        }
        let local_count = u32::try_from(in_flight.len()).unwrap_or(u32::MAX);
        let suspects = quarantine::SuspectCount(local_count.max(reported));
        for fingerprint in in_flight {
            let key = (*fingerprint, target.clone(), generation);
            self.marks.record(key, suspects, now);
        }
    }

    /// Clears the marks of a request that completed, since it does not crash every target.
    pub fn record_completion(&mut self, fingerprint: ids::RequestFingerprint) {
        self.marks.clear(|key| key.0 == fingerprint);
    }

    /// Merges the marks of another node; returns whether they changed anything.
    pub fn merge(&mut self, delta: &quarantine::CrashDelta, now: times::BootTime) -> bool {
        self.merge_marks(delta, false, now)
    }

    /// Merges marks that reach only some nodes; those that are new here are sent like this node's
    /// own.
    ///
    /// Returns whether they changed anything.
    pub fn merge_and_forward(
        &mut self,
        delta: &quarantine::CrashDelta,
        now: times::BootTime,
    ) -> bool {
        self.merge_marks(delta, true, now)
    }

    fn merge_marks(
        &mut self,
        delta: &quarantine::CrashDelta,
        forwards: bool,
        now: times::BootTime,
    ) -> bool {
        let mut is_changed = false;
        for mark in &delta.marks {
            let key = (mark.fingerprint, mark.target.clone(), mark.generation);
            let suspects = quarantine::SuspectCount(mark.suspects);
            let seen_at = now.before(time::Duration::from_millis(mark.age_ms));
            is_changed |= self
                .marks
                .merge(key, suspects, mark.cleared, seen_at, forwards, now);
        }
        is_changed
    }

    /// Returns all marks.
    pub fn marks(&self, now: times::BootTime) -> Vec<quarantine::CrashMark> {
        let marks = self.marks.iter();
        marks.map(|(key, state)| to_mark(key, state, now)).collect()
    }

    /// Returns at most `limit` marks for a datagram: new ones first, then the others in turn.
    pub fn delta(&mut self, now: times::BootTime, limit: usize) -> quarantine::CrashDelta {
        let batch = self.marks.next_batch(limit);
        let marks = batch.iter().map(|(key, state)| to_mark(key, state, now));
        quarantine::CrashDelta {
            marks: marks.collect(),
        }
    }

    /// Returns whether a mark that was recorded here is still to be sent in the next deltas.
    pub fn has_new_marks(&self) -> bool {
        self.marks.has_new()
    }

    /// Removes marks that have reached the end of their lifetime.
    pub fn expire(&mut self, now: times::BootTime) {
        self.marks.expire(now);
    }

    /// Returns the targets whose crashes count against a request.
    pub fn crashed_targets(
        &self,
        fingerprint: ids::RequestFingerprint,
        now: times::BootTime,
    ) -> Vec<&ids::TargetId> {
        let requests = self.live_requests(now).into_iter();
        let mut found = requests.filter(|request| request.fingerprint == fingerprint);
        let marks = found.next().map(|request| request.marks);
        let crashes = marks.unwrap_or_default().into_iter();
        crashes.map(|(crash, _state)| crash.0).collect()
    }

    /// Returns the requests that are held back or implicated now.
    ///
    /// The crashes of a quarantined request do not count against requests with fewer crashes.
    pub fn snapshot(&self, now: times::BootTime) -> quarantine::QuarantineSet {
        self.snapshot_without(&collections::BTreeSet::new(), now)
    }

    /// Returns the requests that are held back or implicated now when some crashes are explained
    /// by something else, so that they count against no request.
    pub fn snapshot_without(
        &self,
        explained: &collections::BTreeSet<(ids::TargetId, epochs::GroupGeneration)>,
        now: times::BootTime,
    ) -> quarantine::QuarantineSet {
        let mut set = quarantine::QuarantineSet::default();
        let implicated = self.implicated_counts();
        let mut requests = self.live_requests(now);
        for request in &mut requests {
            let marks = &mut request.marks;
            marks.retain(|(crash, _state)| !explained.contains(&(crash.0.clone(), crash.1)));
        }
        requests.sort_by_key(|request| cmp::Reverse(request.marks.len()));
        let mut quarantined = Vec::new();
        for request in &requests {
            set.implicated.insert(request.fingerprint);
            let Some((verdict, until)) = request.judge(&quarantined, &implicated) else {
                continue;
            };
            if verdict == quarantine::CrashVerdict::Quarantined {
                quarantined.push(request);
            }
            set.held.insert(request.fingerprint, until);
        }
        set
    }

    /// Returns how many marks are kept.
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Returns whether no mark is kept.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    /// Counts the marked requests of each crash: they may have been marked separately, each on its
    /// own node, with too few suspects.
    fn implicated_counts(&self) -> collections::BTreeMap<quarantine::CrashKey<'_>, u32> {
        let mut counts = collections::BTreeMap::new();
        for ((_fingerprint, target, generation), _state) in self.marks.iter() {
            *counts.entry((target, *generation)).or_default() += 1;
        }
        counts
    }

    /// Returns the marks that count, by request.
    fn live_requests(&self, now: times::BootTime) -> Vec<quarantine::MarkedRequest<'_>> {
        let mut requests: Vec<quarantine::MarkedRequest<'_>> = Vec::new();
        for (key, state) in self.marks.iter() {
            if !state.is_live(now) {
                continue;
            }
            let mark = ((&key.1, key.2), state);
            match requests.last_mut() {
                Some(request) if request.fingerprint == key.0 => request.marks.push(mark),
                _ => requests.push(quarantine::MarkedRequest {
                    fingerprint: key.0,
                    marks: vec![mark],
                }),
            }
        }
        requests
    }
}

fn to_mark(
    key: &MarkKey,
    state: &marks::Mark<quarantine::SuspectCount>,
    now: times::BootTime,
) -> quarantine::CrashMark {
    quarantine::CrashMark {
        fingerprint: key.0,
        target: key.1.clone(),
        generation: key.2,
        suspects: state.detail.0,
        cleared: state.cleared,
        age_ms: state.age_ms(now),
    }
}
