//! A bounded table of marks, with their exchange.

use std::{collections, ops, time};

use pier_types::times;

/// How long a mark counts.
pub(crate) const MARK_LIFETIME: time::Duration = time::Duration::from_mins(10);

/// Age below which a node accepts a mark from another node.
///
/// The transmitted age lacks the time of the transfer. A limit below [`MARK_LIFETIME`] keeps a node
/// from accepting a mark again that it has just expired and the sender is about to expire.
const MAX_MERGE_AGE: time::Duration = time::Duration::from_mins(9);

/// Most marks that are kept; bounds the memory.
const MAX_MARKS: usize = 4_096;

/// Marks evicted at once, so that a full table is not sorted at each crash.
const EVICTION_BATCH: usize = MAX_MARKS / 8;

/// How many datagrams include a new mark before it takes its turn with the others.
const NEW_MARK_SENDS: u8 = 3;

/// The part of a mark that depends on what is marked.
pub(crate) trait MarkDetail: Copy {
    /// Merges the detail of the same mark from another node; returns whether a verdict may change.
    fn merge(&mut self, other: Self) -> bool;
}

/// The mutable part of a mark.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Mark<D> {
    pub detail: D,
    /// Whether the mark no longer counts, since what it marks was completed.
    pub cleared: bool,
    pub seen_at: times::BootTime,
    sends_left: u8,
}

impl<D> Mark<D> {
    /// Returns whether the mark counts.
    pub(crate) fn is_live(&self, now: times::BootTime) -> bool {
        !self.cleared && now.since(self.seen_at) < MARK_LIFETIME
    }

    /// Returns the mark's age in milliseconds.
    pub(crate) fn age_ms(&self, now: times::BootTime) -> u64 {
        u64::try_from(now.since(self.seen_at).as_millis()).unwrap_or(u64::MAX)
    }
}

/// Keeps marks by what they mark and the crash.
#[derive(Debug)]
pub(crate) struct MarkTable<K, D> {
    marks: collections::BTreeMap<K, Mark<D>>,
    /// The mark that was sent last in turn.
    cursor: Option<K>,
}

impl<K, D> Default for MarkTable<K, D> {
    fn default() -> Self {
        Self {
            marks: collections::BTreeMap::new(),
            cursor: None,
        }
    }
}

impl<K: Ord + Clone, D: MarkDetail> MarkTable<K, D> {
    /// Adds a mark of this node; returns whether that may change a verdict.
    pub(crate) fn record(&mut self, key: K, detail: D, now: times::BootTime) -> bool {
        let mark = Mark {
            detail,
            cleared: false,
            seen_at: now,
            sends_left: NEW_MARK_SENDS,
        };
        self.insert(key, mark)
    }

    /// Merges a mark of another node, which is sent on like this node's own if `forwards`; returns
    /// whether that may change a verdict.
    pub(crate) fn merge(
        &mut self,
        key: K,
        detail: D,
        cleared: bool,
        seen_at: times::BootTime,
        forwards: bool,
        now: times::BootTime,
    ) -> bool {
        if now.since(seen_at) >= MAX_MERGE_AGE {
            return false;
        }
        let mark = Mark {
            detail,
            cleared,
            seen_at,
            sends_left: if forwards { NEW_MARK_SENDS } else { 0 },
        };
        self.insert(key, mark)
    }

    /// Adds a mark or updates the known one; returns whether that may change a verdict.
    fn insert(&mut self, key: K, mark: Mark<D>) -> bool {
        let Some(known) = self.marks.get_mut(&key) else {
            self.marks.insert(key, mark);
            self.evict_oldest();
            return true;
        };
        let is_cleared_now = mark.cleared && !known.cleared;
        let is_detail_changed = known.detail.merge(mark.detail);
        // The earliest time counts, or nodes would keep a mark alive by exchanging it.
        known.seen_at = known.seen_at.min(mark.seen_at);
        if is_cleared_now {
            known.cleared = true;
            known.sends_left = known.sends_left.max(mark.sends_left);
        }
        is_detail_changed || is_cleared_now
    }

    /// Clears the marks whose keys match; returns whether there were any.
    pub(crate) fn clear(&mut self, matches: impl Fn(&K) -> bool) -> bool {
        let mut is_changed = false;
        for (_key, mark) in self.marks.iter_mut().filter(|(key, _mark)| matches(key)) {
            if !mark.cleared {
                mark.cleared = true;
                mark.sends_left = NEW_MARK_SENDS;
                is_changed = true;
            }
        }
        is_changed
    }

    /// Returns at most `limit` marks for a datagram: new ones first, then the others in turn.
    pub(crate) fn next_batch(&mut self, limit: usize) -> Vec<(K, Mark<D>)> {
        let mut batch = Vec::new();
        for (key, mark) in &mut self.marks {
            if batch.len() < limit && mark.sends_left > 0 {
                mark.sends_left -= 1;
                batch.push((key.clone(), *mark));
            }
        }
        let room = limit.saturating_sub(batch.len());
        let start = self.cursor.take();
        let lower = start.map_or(ops::Bound::Unbounded, ops::Bound::Excluded);
        let rest = self.marks.range((lower, ops::Bound::Unbounded));
        for (key, mark) in rest.take(room) {
            batch.push((key.clone(), *mark));
            self.cursor = Some(key.clone());
        }
        batch
    }

    /// Returns whether a mark is still to be sent in the next datagrams.
    pub(crate) fn has_new(&self) -> bool {
        self.marks.values().any(|mark| mark.sends_left > 0)
    }

    /// Returns all marks in the order of their keys.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&K, &Mark<D>)> {
        self.marks.iter()
    }

    /// Removes marks that have reached the end of their lifetime.
    pub(crate) fn expire(&mut self, now: times::BootTime) {
        self.marks
            .retain(|_key, mark| now.since(mark.seen_at) < MARK_LIFETIME);
    }

    /// Returns how many marks are kept.
    pub(crate) fn len(&self) -> usize {
        self.marks.len()
    }

    /// Returns whether no mark is kept.
    pub(crate) fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    fn evict_oldest(&mut self) {
        if self.marks.len() <= MAX_MARKS {
            return;
        }
        let mut to_evict = self.marks.len() - MAX_MARKS + EVICTION_BATCH;
        let mut seen_times: Vec<_> = self.marks.values().map(|mark| mark.seen_at).collect();
        seen_times.sort_unstable();
        let oldest_kept = seen_times[to_evict];
        self.marks.retain(|_key, mark| {
            let is_evicted = to_evict > 0 && mark.seen_at <= oldest_kept;
            to_evict -= usize::from(is_evicted);
            !is_evicted
        });
    }
}
