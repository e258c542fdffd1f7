//! Decides which answers a node holds for their callers.

use std::{collections, time};

use pier_types::{sizes, times};

/// Answers of which no more than this is held are small, and have a part of the budget that larger
/// ones cannot take.
pub const SMALL_ANSWER_BYTES: u64 = 64 << 10;

/// One of this many parts of the budget is for small answers.
const SMALL_DIVISOR: u64 = 4;

/// Time without a byte taken after which an answer counts as unread, when the budget is used up.
const UNREAD_TIME: time::Duration = time::Duration::from_secs(1);

/// Time from which on the rate at which a caller takes its answer is judged.
const JUDGED_TIME: time::Duration = time::Duration::from_secs(1);

/// An answer of which a node holds a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AnswerId(u64);

/// Why an answer is ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnswerEnd {
    /// Its caller has taken nothing for a while.
    Unread,
    /// Its caller takes it at less than the least rate.
    Slow,
    /// No caller is at fault, and it is the one that is given up for the others.
    Crowded,
}

impl AnswerEnd {
    /// Returns the cause as logs and metrics name it.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Unread => "unread",
            Self::Slow => "slow",
            Self::Crowded => "crowded",
        }
    }
}

/// The answer to a request for memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerGrant {
    /// The memory is reserved.
    Granted,
    /// Memory becomes free once callers take more, or once answers that are being ended are released;
    /// these are to be ended first.
    Waits(Vec<(AnswerId, AnswerEnd)>),
    /// The answer is the least promising one itself.
    Refused(AnswerEnd),
}

/// What is known of one answer.
#[derive(Debug, Clone, Copy, Default)]
struct AnswerFacts {
    held: u64,
    /// What of it has been handed over and waits for the caller.
    unread: u64,
    /// Bytes that the caller has taken since something began to wait for it.
    taken: u64,
    /// Since when something has waited for the caller all the time.
    waiting_since: times::BootTime,
    /// When the caller last took something, since then.
    taken_at: times::BootTime,
    is_large: bool,
    is_ending: bool,
}

/// The memory that the answers to all requests of a node take together.
#[derive(Debug)]
pub struct AnswerBudget {
    small_bytes: u64,
    large_bytes: u64,
    /// Bytes a second below which a caller counts as slow.
    least_rate: u64,
    answers: collections::BTreeMap<AnswerId, AnswerFacts>,
    held_small: u64,
    held_large: u64,
    next_id: u64,
}

impl AnswerBudget {
    /// Creates a budget without answers.
    pub const fn new(budget: sizes::ByteSize, least_rate: sizes::ByteSize) -> Self {
        let small_bytes = budget.get() / SMALL_DIVISOR;
        Self {
            small_bytes,
            large_bytes: budget.get() - small_bytes,
            least_rate: least_rate.get(),
            answers: collections::BTreeMap::new(),
            held_small: 0,
            held_large: 0,
            next_id: 0,
        }
    }

    /// Adds an answer of which nothing has come yet.
    pub fn begin(&mut self) -> AnswerId {
        let id = AnswerId(self.next_id);
        self.next_id += 1;
        self.answers.insert(id, AnswerFacts::default());
        id
    }

    /// Reserves memory for a part of an answer.
    pub fn reserve(&mut self, id: AnswerId, bytes: u64, now: times::BootTime) -> AnswerGrant {
        let Some(facts) = self.answers.get(&id).copied() else {
            return AnswerGrant::Refused(AnswerEnd::Crowded);
        };
        let held = facts.held.saturating_add(bytes);
        let is_large = facts.is_large || held > SMALL_ANSWER_BYTES;
        // An answer that grows out of the small part takes all of its memory along.
        let needed = if is_large == facts.is_large {
            bytes
        } else {
            held
        };
        let (limit, mut left) = if is_large {
            (self.large_bytes, self.held_large)
        } else {
            (self.small_bytes, self.held_small)
        };
        if left.saturating_add(needed) <= limit {
            self.grow(id, bytes, is_large);
            return AnswerGrant::Granted;
        }
        left -= self.ending_bytes(is_large);
        let mut ends = Vec::new();
        while left.saturating_add(needed) > limit {
            match self.least_promising(id, is_large, now) {
                Some((victim, end)) if victim != id => {
                    if let Some(facts) = self.answers.get_mut(&victim) {
                        facts.is_ending = true;
                        left -= facts.held;
                    }
                    ends.push((victim, end));
                }
                Some((_own, end)) => {
                    self.spare(&ends);
                    return AnswerGrant::Refused(end);
                }
                None => break,
            }
        }
        AnswerGrant::Waits(ends)
    }

    /// Records that reserved bytes wait for the caller from now on.
    pub fn hand_over(&mut self, id: AnswerId, bytes: u64, now: times::BootTime) {
        let Some(facts) = self.answers.get_mut(&id) else {
            return;
        };
        if facts.unread == 0 {
            (facts.waiting_since, facts.taken_at, facts.taken) = (now, now, 0);
        }
        facts.unread += bytes;
    }

    /// Releases bytes that the caller's connection has taken.
    pub fn take(&mut self, id: AnswerId, bytes: u64, now: times::BootTime) {
        if let Some(facts) = self.answers.get_mut(&id) {
            facts.unread = facts.unread.saturating_sub(bytes);
            facts.taken += bytes;
            facts.taken_at = now;
        }
        self.shrink(id, bytes);
    }

    /// Releases bytes that were not handed over.
    pub fn discard(&mut self, id: AnswerId, bytes: u64) {
        self.shrink(id, bytes);
    }

    /// Releases all memory of an answer.
    pub fn release(&mut self, id: AnswerId) {
        if let Some(facts) = self.answers.get(&id) {
            self.shrink(id, facts.held);
        }
        self.answers.remove(&id);
    }

    /// Returns the bytes that all answers hold.
    pub const fn total(&self) -> sizes::ByteSize {
        sizes::ByteSize::new(self.held_small + self.held_large)
    }

    fn grow(&mut self, id: AnswerId, bytes: u64, is_large: bool) {
        let Some(facts) = self.answers.get_mut(&id) else {
            return;
        };
        if is_large && !facts.is_large {
            self.held_small -= facts.held;
            self.held_large += facts.held;
        }
        facts.held += bytes;
        facts.is_large = is_large;
        if is_large {
            self.held_large += bytes;
        } else {
            self.held_small += bytes;
        }
    }

    fn shrink(&mut self, id: AnswerId, bytes: u64) {
        let Some(facts) = self.answers.get_mut(&id) else {
            return;
        };
        let bytes = bytes.min(facts.held);
        facts.held -= bytes;
        if facts.is_large {
            self.held_large -= bytes;
        } else {
            self.held_small -= bytes;
        }
        if facts.held == 0 {
            facts.is_large = false;
        }
    }

    /// Unmarks the answers that were to be ended for one that is refused.
    fn spare(&mut self, ends: &[(AnswerId, AnswerEnd)]) {
        for (spared, _end) in ends {
            if let Some(facts) = self.answers.get_mut(spared) {
                facts.is_ending = false;
            }
        }
    }

    fn ending_bytes(&self, is_large: bool) -> u64 {
        let facts = self.answers.values();
        let ending = facts.filter(|facts| facts.is_ending && facts.is_large == is_large);
        ending.map(|facts| facts.held).sum()
    }

    /// Chooses the answer to be ended for another: that which is unread longest, then the one that has
    /// waited longest for a slow caller. Where nothing waits for a caller, it is the newest one, which
    /// may be that which asks.
    fn least_promising(
        &self,
        asking: AnswerId,
        is_large: bool,
        now: times::BootTime,
    ) -> Option<(AnswerId, AnswerEnd)> {
        let all = self.answers.iter();
        let others = all.filter(|(_id, facts)| !facts.is_ending && facts.held > 0);
        let others = others.filter(|(id, facts)| facts.is_large == is_large || **id == asking);
        let waiting = others.clone().filter(|(_id, facts)| facts.unread > 0);
        let unread = waiting
            .clone()
            .filter(|(_id, facts)| now.since(facts.taken_at) >= UNREAD_TIME);
        if let Some((id, _facts)) = unread.min_by_key(|(_id, facts)| facts.taken_at) {
            return Some((*id, AnswerEnd::Unread));
        }
        let slow = waiting
            .clone()
            .filter(|(_id, facts)| self.is_slow(facts, now));
        if let Some((id, _facts)) = slow.min_by_key(|(_id, facts)| facts.waiting_since) {
            return Some((*id, AnswerEnd::Slow));
        }
        if waiting.clone().next().is_some() {
            return None;
        }
        let newest = others.map(|(id, _facts)| *id).max();
        Some((newest.unwrap_or(asking).max(asking), AnswerEnd::Crowded))
    }

    fn is_slow(&self, facts: &AnswerFacts, now: times::BootTime) -> bool {
        let waited = now.since(facts.waiting_since);
        let expected = u128::from(self.least_rate) * waited.as_millis() / 1_000;
        waited >= JUDGED_TIME && u128::from(facts.taken) < expected
    }
}
