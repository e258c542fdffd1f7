//! The marks of parts that this node knows, and the parts that it knows to be sound.

use std::{collections, time};

use pier_types::{epochs, ids, times};

use crate::{marks, prompt_parts};

/// How long before a crash an answer may have been completed that shows a part to be sound.
const SOUND_LIFETIME: time::Duration = time::Duration::from_secs(10);

/// Most sound parts that are kept; bounds the memory.
const MAX_SOUND_PARTS: usize = 8_192;

/// Sound parts evicted at once, so that not each new one causes a sort.
const EVICTION_BATCH: usize = 512;

/// Identifies a mark.
type MarkKey = (ids::PromptPart, prompt_parts::CrashId);

/// A request that was lost in a crash; the least of those that are known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LostRequest(ids::RequestFingerprint);

impl marks::MarkDetail for LostRequest {
    fn merge(&mut self, other: Self) -> bool {
        let is_changed = other < *self;
        *self = other.min(*self);
        is_changed
    }
}

/// Collects marks of the parts that were on crashed targets, from this node and from others.
///
/// ```
/// use pier_request::prompt_parts;
/// use pier_types::{epochs, ids, times};
///
/// let [shared, bad] = [1, 2].map(ids::PromptPart::new);
/// let now = times::BootTime::from_millis(5);
/// let mut history = prompt_parts::PartHistory::default();
/// history.record_completion(&[shared], now);
/// for number in 0..4_u64 {
///     let target = ids::TargetId::Vm(format!("vm-{number}").parse()?);
///     let request = ids::RequestFingerprint::of("college", "/v1", &number.to_le_bytes());
///     let generation = epochs::GroupGeneration::new(1);
///     history.record_crash(&target, generation, request, &[shared, bad], now);
/// }
/// assert!(history.snapshot(now).remaining(&[shared, bad], now).is_some());
/// assert!(history.snapshot(now).remaining(&[shared], now).is_none());
/// # Ok::<(), ids::NameError>(())
/// ```
#[derive(Debug, Default)]
pub struct PartHistory {
    marks: marks::MarkTable<MarkKey, LostRequest>,
    /// Parts that may have marks which count; others need no search for marks to clear.
    accused: collections::BTreeSet<ids::PromptPart>,
    /// When an answer to a request with the part was last completed.
    sound: collections::BTreeMap<ids::PromptPart, times::BootTime>,
}

impl PartHistory {
    /// Marks the shared parts of a request that was lost with a crashed target, except those known
    /// to be sound; returns whether that changed anything.
    pub fn record_crash(
        &mut self,
        target: &ids::TargetId,
        generation: epochs::GroupGeneration,
        request: ids::RequestFingerprint,
        parts: &[ids::PromptPart],
        now: times::BootTime,
    ) -> bool {
        let mut is_changed = false;
        for part in parts {
            if self.is_sound(*part, now) {
                continue;
            }
            let key = (*part, (target.clone(), generation));
            is_changed |= self.marks.record(key, LostRequest(request), now);
            self.accused.insert(*part);
        }
        is_changed
    }

    /// Records that an answer to a request with these shared parts was completed, which clears
    /// their marks; returns whether there were any.
    pub fn record_completion(&mut self, parts: &[ids::PromptPart], now: times::BootTime) -> bool {
        let mut is_changed = false;
        for part in parts {
            self.sound.insert(*part, now);
            if self.accused.remove(part) {
                is_changed |= self.marks.clear(|key| key.0 == *part);
            }
        }
        if self.sound.len() > MAX_SOUND_PARTS {
            let oldest_kept = nth_oldest(self.sound.values().copied(), EVICTION_BATCH);
            self.sound.retain(|_part, at| *at > oldest_kept);
        }
        is_changed
    }

    /// Merges the marks of another node; returns whether they changed anything.
    pub fn merge(&mut self, delta: &prompt_parts::PartDelta, now: times::BootTime) -> bool {
        self.merge_marks(delta, false, now)
    }

    /// Merges marks that reach only some nodes; those that are new here are sent like this node's
    /// own. Returns whether they changed anything.
    pub fn merge_and_forward(
        &mut self,
        delta: &prompt_parts::PartDelta,
        now: times::BootTime,
    ) -> bool {
        self.merge_marks(delta, true, now)
    }

    fn merge_marks(
        &mut self,
        delta: &prompt_parts::PartDelta,
        forwards: bool,
        now: times::BootTime,
    ) -> bool {
        let mut is_changed = false;
        for mark in &delta.marks {
            let seen_at = now.before(time::Duration::from_millis(mark.age_ms));
            // The sender does not know that the part is sound.
            let is_news = !mark.cleared && self.is_sound(mark.part, seen_at);
            let key = (mark.part, (mark.target.clone(), mark.generation));
            let request = LostRequest(mark.request);
            let cleared = mark.cleared || is_news;
            let forwards = forwards || is_news;
            is_changed |= self
                .marks
                .merge(key, request, cleared, seen_at, forwards, now);
            if !cleared {
                self.accused.insert(mark.part);
            }
        }
        is_changed
    }

    /// Returns all marks.
    pub fn marks(&self, now: times::BootTime) -> Vec<prompt_parts::PartMark> {
        let marks = self.marks.iter();
        marks.map(|(key, state)| to_mark(key, state, now)).collect()
    }

    /// Returns at most `limit` marks for a datagram: new ones first, then the others in turn.
    pub fn delta(&mut self, now: times::BootTime, limit: usize) -> prompt_parts::PartDelta {
        let batch = self.marks.next_batch(limit);
        let marks = batch.iter().map(|(key, state)| to_mark(key, state, now));
        prompt_parts::PartDelta {
            marks: marks.collect(),
        }
    }

    /// Returns whether a mark is still to be sent in the next deltas.
    pub fn has_new_marks(&self) -> bool {
        self.marks.has_new()
    }

    /// Removes marks and sound parts that have reached the end of their lifetime.
    pub fn expire(&mut self, now: times::BootTime) {
        self.marks.expire(now);
        self.sound
            .retain(|_part, at| now.since(*at) < marks::MARK_LIFETIME);
        let live = self.marks.iter().filter(|(_key, state)| state.is_live(now));
        self.accused = live.map(|((part, _crash), _state)| *part).collect();
    }

    /// Returns the parts that are held now.
    pub fn snapshot(&self, now: times::BootTime) -> prompt_parts::PartQuarantine {
        let mut evidence: Vec<prompt_parts::PartEvidence<'_>> = Vec::new();
        for ((part, crash), state) in self.marks.iter() {
            if !state.is_live(now) {
                continue;
            }
            match evidence.last_mut() {
                Some(last) if last.part == *part => last.add(crash, state.detail.0, state.seen_at),
                _ => {
                    let mut first = prompt_parts::PartEvidence::new(*part);
                    first.add(crash, state.detail.0, state.seen_at);
                    evidence.push(first);
                }
            }
        }
        prompt_parts::PartEvidence::judge(evidence, marks::MARK_LIFETIME)
    }

    /// Returns how many marks are kept.
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Returns whether no mark is kept.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    /// Returns whether an answer to a request with the part was completed after a crash, or shortly
    /// before it.
    fn is_sound(&self, part: ids::PromptPart, crashed_at: times::BootTime) -> bool {
        let completed_at = self.sound.get(&part);
        completed_at.is_some_and(|at| crashed_at.since(*at) < SOUND_LIFETIME)
    }
}

fn nth_oldest(times: impl Iterator<Item = times::BootTime>, position: usize) -> times::BootTime {
    let mut times: Vec<_> = times.collect();
    times.sort_unstable();
    times.get(position).copied().unwrap_or_default()
}

fn to_mark(
    key: &MarkKey,
    state: &marks::Mark<LostRequest>,
    now: times::BootTime,
) -> prompt_parts::PartMark {
    let (part, (target, generation)) = key;
    prompt_parts::PartMark {
        part: *part,
        request: state.detail.0,
        target: target.clone(),
        generation: *generation,
        cleared: state.cleared,
        age_ms: state.age_ms(now),
    }
}
