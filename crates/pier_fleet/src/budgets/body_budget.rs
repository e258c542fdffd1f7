//! Decides which bodies of requests a node holds.

use std::{collections, time};

use pier_types::{sizes, times};

/// Bodies up to this size are small, and have a part of the budget that larger ones cannot take.
pub const SMALL_BODY_BYTES: u64 = 64 << 10;

/// One of this many parts of the budget is for small bodies.
const SMALL_DIVISOR: u64 = 8;

/// Time without a byte after which a body no longer counts as arriving, when the budget is used up:
/// more than a few retransmissions between data centres take.
const QUIET_TIME: time::Duration = time::Duration::from_millis(500);

/// Age from which on a body's rate is judged, so that a slow start is not.
const JUDGED_AGE: time::Duration = time::Duration::from_secs(1);

/// A body that is being read, or belongs to a request in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BodyId(u64);

/// Why a body is ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum BodyEnd {
    /// Nothing of it has come for a while.
    Quiet,
    /// It comes at less than the least rate.
    Slow,
    /// All bodies make progress, and it is the one that is given up for the others.
    Crowded,
}

impl BodyEnd {
    /// Returns the cause as logs and metrics name it.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Quiet => "quiet",
            Self::Slow => "slow",
            Self::Crowded => "crowded",
        }
    }
}

/// The answer to a body that needs more memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyGrant {
    /// The memory is reserved.
    Granted,
    /// Memory becomes free once bodies that are being ended are released; these are to be ended
    /// first.
    Waits(Vec<(BodyId, BodyEnd)>),
    /// The body is the least promising one itself, or nothing can be ended for it.
    Refused(BodyEnd),
}

/// What is known of one body.
#[derive(Debug, Clone, Copy)]
struct BodyFacts {
    held: u64,
    is_small: bool,
    is_complete: bool,
    is_ending: bool,
    started_at: times::BootTime,
    progress_at: times::BootTime,
}

/// The memory that the bodies of all requests of a node take together.
#[derive(Debug)]
pub struct BodyBudget {
    /// What small bodies may take.
    small_bytes: u64,
    /// What larger bodies may take.
    large_bytes: u64,
    /// Bytes a second below which a body counts as slow.
    least_rate: u64,
    bodies: collections::BTreeMap<BodyId, BodyFacts>,
    next_id: u64,
}

impl BodyBudget {
    /// Creates a budget without bodies.
    pub const fn new(budget: sizes::ByteSize, least_rate: sizes::ByteSize) -> Self {
        let small_bytes = budget.get() / SMALL_DIVISOR;
        Self {
            small_bytes,
            large_bytes: budget.get() - small_bytes,
            least_rate: least_rate.get(),
            bodies: collections::BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Adds a body of which nothing has come yet.
    pub fn begin(&mut self, stated: Option<u64>, now: times::BootTime) -> BodyId {
        let id = BodyId(self.next_id);
        self.next_id += 1;
        let facts = BodyFacts {
            held: 0,
            is_small: stated.is_none_or(|stated| stated <= SMALL_BODY_BYTES),
            is_complete: false,
            is_ending: false,
            started_at: now,
            progress_at: now,
        };
        self.bodies.insert(id, facts);
        id
    }

    /// Records that a part of a body came.
    pub fn record_progress(&mut self, id: BodyId, now: times::BootTime) {
        if let Some(facts) = self.bodies.get_mut(&id) {
            facts.progress_at = now;
        }
    }

    /// Reserves memory for a part of a body that has come.
    pub fn reserve(&mut self, id: BodyId, bytes: u64, now: times::BootTime) -> BodyGrant {
        let Some(facts) = self.bodies.get(&id).copied() else {
            return BodyGrant::Refused(BodyEnd::Crowded);
        };
        let held = facts.held.saturating_add(bytes);
        let is_small = facts.is_small && held <= SMALL_BODY_BYTES;
        // A body that grows out of the small part takes all of its memory along.
        let needed = if is_small == facts.is_small {
            bytes
        } else {
            held
        };
        let limit = if is_small {
            self.small_bytes
        } else {
            self.large_bytes
        };
        // A single large body is held whatever its size, which the document limits.
        let fits = |budget: &Self, with_ending: bool| {
            budget.held(is_small, with_ending).saturating_add(needed) <= limit
                || (!is_small && budget.is_alone(id, with_ending))
        };
        if fits(self, true) {
            if let Some(facts) = self.bodies.get_mut(&id) {
                (facts.held, facts.is_small) = (held, is_small);
            }
            return BodyGrant::Granted;
        }
        let mut ends = Vec::new();
        while !fits(self, false) {
            match self.least_promising((id, held), is_small, now) {
                Some((victim, end)) if victim != id => {
                    if let Some(facts) = self.bodies.get_mut(&victim) {
                        facts.is_ending = true;
                    }
                    ends.push((victim, end));
                }
                Some((_own, end)) => return self.refuse(&ends, end),
                None => return self.refuse(&ends, BodyEnd::Crowded),
            }
        }
        BodyGrant::Waits(ends)
    }

    /// Chooses the body to be ended for a new connection; marks it as being ended.
    pub fn give_up_one(&mut self, now: times::BootTime) -> Option<(BodyId, BodyEnd)> {
        let small = self.choose(now, |_id, facts| facts.is_small);
        let chosen = small.or_else(|| self.choose(now, |_id, _facts| true))?;
        if let Some(facts) = self.bodies.get_mut(&chosen.0) {
            facts.is_ending = true;
        }
        Some(chosen)
    }

    /// Records that a body has come whole; it is not ended any more.
    pub fn complete(&mut self, id: BodyId) {
        if let Some(facts) = self.bodies.get_mut(&id) {
            facts.is_complete = true;
        }
    }

    /// Releases all memory of a body.
    pub fn release(&mut self, id: BodyId) {
        self.bodies.remove(&id);
    }

    /// Returns the bytes that all bodies hold.
    pub fn total(&self) -> sizes::ByteSize {
        sizes::ByteSize::new(self.held(true, true) + self.held(false, true))
    }

    /// Unmarks the bodies that were to be ended for one that is refused.
    fn refuse(&mut self, ends: &[(BodyId, BodyEnd)], end: BodyEnd) -> BodyGrant {
        for (spared, _end) in ends {
            if let Some(facts) = self.bodies.get_mut(spared) {
                facts.is_ending = false;
            }
        }
        BodyGrant::Refused(end)
    }

    /// Returns what one part of the budget holds, with or without the bodies that are being ended.
    fn held(&self, is_small: bool, with_ending: bool) -> u64 {
        let facts = self.bodies.values();
        let held = facts.filter(|facts| facts.is_small == is_small);
        let held = held.filter(|facts| with_ending || !facts.is_ending);
        held.map(|facts| facts.held).sum()
    }

    /// Returns whether no other body holds memory of the large part.
    fn is_alone(&self, id: BodyId, with_ending: bool) -> bool {
        let mut others = self.bodies.iter().filter(|(other, _facts)| **other != id);
        !others.any(|(_other, facts)| {
            !facts.is_small && facts.held > 0 && (with_ending || !facts.is_ending)
        })
    }

    /// Returns the least promising of the bodies that hold a part of the budget, and of the one that
    /// asks for more and would then hold the given bytes.
    fn least_promising(
        &self,
        asking: (BodyId, u64),
        is_small: bool,
        now: times::BootTime,
    ) -> Option<(BodyId, BodyEnd)> {
        let (asking, asked) = asking;
        let (id, end) = self.choose(now, |id, facts| {
            id == asking || (facts.is_small == is_small && facts.held > 0)
        })?;
        if !is_small || end != BodyEnd::Crowded {
            return Some((id, end));
        }
        // Among small bodies the shortest stay, so that ordinary requests pass a crowd.
        let small = self.bodies.iter().filter(|(id, facts)| {
            facts.is_small && !facts.is_complete && !facts.is_ending && **id != asking
        });
        let longest = small.map(|(id, facts)| (facts.held, *id)).max();
        let (_held, id) = longest.max(Some((asked, asking)))?;
        Some((id, BodyEnd::Crowded))
    }

    fn choose(
        &self,
        now: times::BootTime,
        may_end: impl Fn(BodyId, &BodyFacts) -> bool,
    ) -> Option<(BodyId, BodyEnd)> {
        let open = || {
            let bodies = self.bodies.iter().map(|(id, facts)| (*id, facts));
            bodies
                .filter(|(id, facts)| !facts.is_complete && !facts.is_ending && may_end(*id, facts))
        };
        let quiet = open().filter(|(_id, facts)| now.since(facts.progress_at) >= QUIET_TIME);
        if let Some((id, _facts)) = quiet.min_by_key(|(id, facts)| (facts.progress_at, *id)) {
            return Some((id, BodyEnd::Quiet));
        }
        let mut slow = open().filter(|(_id, facts)| self.is_slow(facts, now));
        if let Some((id, _facts)) = slow.next() {
            return Some((id, BodyEnd::Slow));
        }
        // The newest has the most still to come.
        open().last().map(|(id, _facts)| (id, BodyEnd::Crowded))
    }

    fn is_slow(&self, facts: &BodyFacts, now: times::BootTime) -> bool {
        let age = now.since(facts.started_at);
        let expected = u128::from(self.least_rate) * age.as_millis() / 1_000;
        age >= JUDGED_AGE && u128::from(facts.held) < expected
    }
}
