//! The marks of parts that this node knows, and the parts that it knows to be sound.

use std::{collections, ops, time};

use pier_types::{epochs, ids, times};

use crate::prompt_parts;

/// How long a mark counts.
const MARK_LIFETIME: time::Duration = time::Duration::from_mins(10);

/// Age below which a node accepts a mark from another node, so that no node accepts a mark again
/// that it has just expired.
const MAX_MERGE_AGE: time::Duration = time::Duration::from_mins(9);

/// How long before a crash an answer may have been completed that shows a part to be sound.
const SOUND_LIFETIME: time::Duration = time::Duration::from_secs(10);

/// Most marks that are kept; bounds the memory.
const MAX_MARKS: usize = 4_096;

/// Most sound parts that are kept; bounds the memory.
const MAX_SOUND_PARTS: usize = 8_192;

/// Marks, or sound parts, evicted at once, so that not each new one causes a sort.
const EVICTION_BATCH: usize = 512;

/// How many deltas include a new mark before it takes its turn with the others.
const NEW_MARK_SENDS: u8 = 3;

/// The marks of one part.
type PartMarks = collections::BTreeMap<prompt_parts::CrashId, MarkState>;

#[derive(Debug, Clone, Copy)]
struct MarkState {
    request: ids::RequestFingerprint,
    cleared: bool,
    seen_at: times::BootTime,
    priority_sends_left: u8,
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
    marks: collections::BTreeMap<ids::PromptPart, PartMarks>,
    /// When an answer to a request with the part was last completed.
    sound: collections::BTreeMap<ids::PromptPart, times::BootTime>,
    /// The mark that was sent last in turn.
    cursor: Option<(ids::PromptPart, prompt_parts::CrashId)>,
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
            let state = MarkState {
                request,
                cleared: false,
                seen_at: now,
                priority_sends_left: NEW_MARK_SENDS,
            };
            is_changed |= self.insert(*part, (target.clone(), generation), state);
        }
        self.evict_oldest();
        is_changed
    }

    /// Records that an answer to a request with these shared parts was completed, which clears
    /// their marks; returns whether there were any.
    pub fn record_completion(&mut self, parts: &[ids::PromptPart], now: times::BootTime) -> bool {
        let mut is_changed = false;
        for part in parts {
            self.sound.insert(*part, now);
            let marks = self.marks.get_mut(part).into_iter().flatten();
            for (_crash, state) in marks.filter(|(_crash, state)| !state.cleared) {
                state.cleared = true;
                state.priority_sends_left = NEW_MARK_SENDS;
                is_changed = true;
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
        self.merge_marks(delta, 0, now)
    }

    /// Merges marks that reach only some nodes; those that are new here are sent like this node's
    /// own. Returns whether they changed anything.
    pub fn merge_and_forward(
        &mut self,
        delta: &prompt_parts::PartDelta,
        now: times::BootTime,
    ) -> bool {
        self.merge_marks(delta, NEW_MARK_SENDS, now)
    }

    fn merge_marks(
        &mut self,
        delta: &prompt_parts::PartDelta,
        sends: u8,
        now: times::BootTime,
    ) -> bool {
        let mut is_changed = false;
        for mark in &delta.marks {
            let age = time::Duration::from_millis(mark.age_ms);
            if age >= MAX_MERGE_AGE {
                continue;
            }
            let seen_at = now.before(age);
            // The sender does not know that the part is sound.
            let is_news = !mark.cleared && self.is_sound(mark.part, seen_at);
            let crash = (mark.target.clone(), mark.generation);
            let state = MarkState {
                request: mark.request,
                cleared: mark.cleared || is_news,
                seen_at,
                priority_sends_left: if is_news { NEW_MARK_SENDS } else { sends },
            };
            is_changed |= self.insert(mark.part, crash, state);
        }
        self.evict_oldest();
        is_changed
    }

    /// Returns all marks.
    pub fn marks(&self, now: times::BootTime) -> Vec<prompt_parts::PartMark> {
        let marks = self.marks.iter().flat_map(|(part, marks)| {
            let marks = marks.iter();
            marks.map(|(crash, state)| to_mark(*part, crash, state, now))
        });
        marks.collect()
    }

    /// Returns at most `limit` marks for a datagram: new ones first, then the others in turn.
    pub fn delta(&mut self, now: times::BootTime, limit: usize) -> prompt_parts::PartDelta {
        let mut marks = Vec::new();
        for (part, part_marks) in &mut self.marks {
            for (crash, state) in part_marks {
                if marks.len() < limit && state.priority_sends_left > 0 {
                    state.priority_sends_left -= 1;
                    marks.push(to_mark(*part, crash, state, now));
                }
            }
        }
        self.add_round_robin(&mut marks, now, limit);
        prompt_parts::PartDelta { marks }
    }

    fn add_round_robin(
        &mut self,
        marks: &mut Vec<prompt_parts::PartMark>,
        now: times::BootTime,
        limit: usize,
    ) {
        let room = limit.saturating_sub(marks.len());
        let cursor = self.cursor.take();
        let from = cursor.as_ref().map(|(part, _crash)| *part);
        let lower = from.map_or(ops::Bound::Unbounded, ops::Bound::Included);
        let rest = self.marks.range((lower, ops::Bound::Unbounded));
        let rest = rest.flat_map(|(part, marks)| marks.iter().map(|mark| (*part, mark)));
        let rest = rest.filter(|(part, (crash, _state))| {
            let sent = cursor.as_ref();
            sent.is_none_or(|(last_part, last)| (part, *crash) > (last_part, last))
        });
        for (part, (crash, state)) in rest.take(room) {
            marks.push(to_mark(part, crash, state, now));
            self.cursor = Some((part, crash.clone()));
        }
    }

    /// Returns whether a mark is still to be sent in the next deltas.
    pub fn has_new_marks(&self) -> bool {
        let mut states = self.marks.values().flat_map(PartMarks::values);
        states.any(|state| state.priority_sends_left > 0)
    }

    /// Removes marks and sound parts that have reached the end of their lifetime.
    pub fn expire(&mut self, now: times::BootTime) {
        self.retain_marks(|state| now.since(state.seen_at) < MARK_LIFETIME);
        self.sound
            .retain(|_part, at| now.since(*at) < MARK_LIFETIME);
    }

    /// Returns the parts that are held now.
    pub fn snapshot(&self, now: times::BootTime) -> prompt_parts::PartQuarantine {
        let suspects = self
            .marks
            .iter()
            .filter(|(_part, marks)| marks.len() >= prompt_parts::MIN_SUSPECT_CRASHES);
        let evidence = suspects.map(|(part, marks)| {
            let live = marks.iter().filter(|(_crash, state)| {
                !state.cleared && now.since(state.seen_at) < MARK_LIFETIME
            });
            prompt_parts::PartEvidence {
                part: *part,
                crashes: live
                    .clone()
                    .map(|(crash, state)| (crash, state.seen_at))
                    .collect(),
                requests: live.map(|(_crash, state)| state.request).collect(),
            }
        });
        let evidence = evidence.collect();
        prompt_parts::PartEvidence::judge(evidence, MARK_LIFETIME)
    }

    /// Returns how many marks are kept.
    pub fn len(&self) -> usize {
        self.marks.values().map(PartMarks::len).sum()
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

    /// Adds a mark or updates the known one; returns whether that may change a verdict.
    fn insert(
        &mut self,
        part: ids::PromptPart,
        crash: prompt_parts::CrashId,
        state: MarkState,
    ) -> bool {
        let marks = self.marks.entry(part).or_default();
        let Some(known) = marks.get_mut(&crash) else {
            marks.insert(crash, state);
            return true;
        };
        let is_cleared_now = state.cleared && !known.cleared;
        let is_changed = is_cleared_now || state.request < known.request;
        known.request = known.request.min(state.request);
        known.cleared |= state.cleared;
        // The earliest time counts, or nodes would keep a mark alive by exchanging it.
        known.seen_at = known.seen_at.min(state.seen_at);
        if is_cleared_now {
            known.priority_sends_left = known.priority_sends_left.max(state.priority_sends_left);
        }
        is_changed
    }

    fn evict_oldest(&mut self) {
        if self.len() > MAX_MARKS {
            let states = self.marks.values().flat_map(PartMarks::values);
            let oldest_kept = nth_oldest(states.map(|state| state.seen_at), EVICTION_BATCH);
            self.retain_marks(|state| state.seen_at > oldest_kept);
        }
    }

    fn retain_marks(&mut self, keep: impl Fn(&MarkState) -> bool) {
        self.marks.retain(|_part, marks| {
            marks.retain(|_crash, state| keep(state));
            !marks.is_empty()
        });
    }
}

fn nth_oldest(times: impl Iterator<Item = times::BootTime>, position: usize) -> times::BootTime {
    let mut times: Vec<_> = times.collect();
    times.sort_unstable();
    times.get(position).copied().unwrap_or_default()
}

fn to_mark(
    part: ids::PromptPart,
    crash: &prompt_parts::CrashId,
    state: &MarkState,
    now: times::BootTime,
) -> prompt_parts::PartMark {
    let age = now.since(state.seen_at).as_millis();
    prompt_parts::PartMark {
        part,
        request: state.request,
        target: crash.0.clone(),
        generation: crash.1,
        cleared: state.cleared,
        age_ms: u64::try_from(age).unwrap_or(u64::MAX),
    }
}
