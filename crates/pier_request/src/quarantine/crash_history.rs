//! The crash marks that this node knows.

use std::{cmp, collections, ops, time};

use pier_types::{epochs, ids, times};

use crate::quarantine;

/// Most marks that are kept; bounds the memory.
const MAX_MARKS: usize = 4_096;

/// Marks evicted at once, so that a full history is not sorted at each crash.
const EVICTION_BATCH: usize = MAX_MARKS / 8;

/// Age below which a node accepts a mark from another node.
///
/// The transmitted age lacks the time of the transfer. A limit below [`MARK_LIFETIME`](quarantine::MARK_LIFETIME) keeps a node
/// from accepting a mark again that it has just expired and the sender is about to expire.
const MAX_MERGE_AGE: time::Duration = time::Duration::from_mins(9);

/// How many deltas include a new mark before it takes its turn with the others.
const NEW_MARK_SENDS: u8 = 3;

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
    marks: collections::BTreeMap<MarkKey, quarantine::MarkState>,
    cursor: Option<MarkKey>,
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
        let state = quarantine::MarkState {
            suspects: local_count.max(reported),
            cleared: false,
            seen_at: now,
            priority_sends_left: NEW_MARK_SENDS,
        };
        for fingerprint in in_flight {
            self.insert((*fingerprint, target.clone(), generation), state);
        }
        self.evict_oldest();
    }

    /// Clears the marks of a request that completed, since it does not crash every target.
    pub fn record_completion(&mut self, fingerprint: ids::RequestFingerprint) {
        for (key, state) in &mut self.marks {
            if key.0 == fingerprint && !state.cleared {
                state.cleared = true;
                state.priority_sends_left = NEW_MARK_SENDS;
            }
        }
    }

    /// Merges the marks of another node; returns whether they changed anything.
    pub fn merge(&mut self, delta: &quarantine::CrashDelta, now: times::BootTime) -> bool {
        self.merge_marks(delta, 0, now)
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
        self.merge_marks(delta, NEW_MARK_SENDS, now)
    }

    fn merge_marks(
        &mut self,
        delta: &quarantine::CrashDelta,
        sends: u8,
        now: times::BootTime,
    ) -> bool {
        let mut is_changed = false;
        for mark in &delta.marks {
            let age = time::Duration::from_millis(mark.age_ms);
            if age >= MAX_MERGE_AGE {
                continue;
            }
            let key = (mark.fingerprint, mark.target.clone(), mark.generation);
            let state = quarantine::MarkState {
                suspects: mark.suspects,
                cleared: mark.cleared,
                seen_at: now.before(age),
                priority_sends_left: sends,
            };
            is_changed |= self.insert(key, state);
        }
        self.evict_oldest();
        is_changed
    }

    /// Returns all marks.
    pub fn marks(&self, now: times::BootTime) -> Vec<quarantine::CrashMark> {
        let marks = self.marks.iter();
        marks.map(|(key, state)| to_mark(key, state, now)).collect()
    }

    /// Returns at most `limit` marks for a datagram: new ones first, then the others in turn.
    pub fn delta(&mut self, now: times::BootTime, limit: usize) -> quarantine::CrashDelta {
        let mut marks = Vec::new();
        for (key, state) in &mut self.marks {
            if marks.len() < limit && state.priority_sends_left > 0 {
                state.priority_sends_left -= 1;
                marks.push(to_mark(key, state, now));
            }
        }
        self.add_round_robin(&mut marks, now, limit);
        quarantine::CrashDelta { marks }
    }

    /// Returns whether a mark that was recorded here is still to be sent in the next deltas.
    pub fn has_new_marks(&self) -> bool {
        self.marks
            .values()
            .any(|state| state.priority_sends_left > 0)
    }

    /// Removes marks that have reached the end of their lifetime.
    pub fn expire(&mut self, now: times::BootTime) {
        self.marks
            .retain(|_key, state| now.since(state.seen_at) < quarantine::MARK_LIFETIME);
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
        for (_fingerprint, target, generation) in self.marks.keys() {
            *counts.entry((target, *generation)).or_default() += 1;
        }
        counts
    }

    /// Returns the marks that count, by request.
    fn live_requests(&self, now: times::BootTime) -> Vec<quarantine::MarkedRequest<'_>> {
        let mut requests: Vec<quarantine::MarkedRequest<'_>> = Vec::new();
        for (key, state) in &self.marks {
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

    /// Adds a mark or updates the known one; returns whether that may change a verdict.
    fn insert(&mut self, key: MarkKey, state: quarantine::MarkState) -> bool {
        let Some(known) = self.marks.get_mut(&key) else {
            self.marks.insert(key, state);
            return true;
        };
        let is_changed = state.suspects > known.suspects || (state.cleared && !known.cleared);
        known.suspects = known.suspects.max(state.suspects);
        known.cleared |= state.cleared;
        // The earliest time counts, or nodes would keep a mark alive by exchanging it.
        known.seen_at = known.seen_at.min(state.seen_at);
        is_changed
    }

    fn evict_oldest(&mut self) {
        if self.marks.len() <= MAX_MARKS {
            return;
        }
        let mut to_evict = self.marks.len() - MAX_MARKS + EVICTION_BATCH;
        let mut seen_times: Vec<_> = self.marks.values().map(|state| state.seen_at).collect();
        seen_times.sort_unstable();
        let oldest_kept = seen_times[to_evict];
        self.marks.retain(|_key, state| {
            let is_evicted = to_evict > 0 && state.seen_at <= oldest_kept;
            to_evict -= usize::from(is_evicted);
            !is_evicted
        });
    }

    fn add_round_robin(
        &mut self,
        marks: &mut Vec<quarantine::CrashMark>,
        now: times::BootTime,
        limit: usize,
    ) {
        let room = limit.saturating_sub(marks.len());
        let start = self.cursor.take();
        let lower = start.map_or(ops::Bound::Unbounded, ops::Bound::Excluded);
        let rest = self.marks.range((lower, ops::Bound::Unbounded));
        for (key, state) in rest.take(room) {
            marks.push(to_mark(key, state, now));
            self.cursor = Some(key.clone());
        }
    }
}

fn to_mark(
    key: &MarkKey,
    state: &quarantine::MarkState,
    now: times::BootTime,
) -> quarantine::CrashMark {
    let age = now.since(state.seen_at).as_millis();
    quarantine::CrashMark {
        fingerprint: key.0,
        target: key.1.clone(),
        generation: key.2,
        suspects: state.suspects,
        cleared: state.cleared,
        age_ms: u64::try_from(age).unwrap_or(u64::MAX),
    }
}
