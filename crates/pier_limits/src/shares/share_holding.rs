//! A node's lent shares.

use std::{collections, time};

use pier_types::{epochs, sizes, times};
use pier_wire::messages;

use crate::shares;

/// What this node was lent, and until when it may start work under it.
///
/// Each question names the share that the node keeps; from then on it uses at most that, until the
/// answer to this very question comes, which may raise or lower it. An answer to an earlier
/// question is dropped. So the lease holder's bound is right whichever messages are lost, delayed
/// or doubled. A share's life is counted from its question.
///
/// ```
/// use pier_limits::shares;
/// use pier_types::{epochs, ids, sizes, times};
/// use pier_wire::messages;
///
/// let mut holding = shares::ShareHolding::new(shares::ShareTerms::default());
/// let key = messages::ShareKey::of(&ids::TargetId::Vm("ledger-1".parse()?), 1);
/// let now = times::BootTime::from_millis(500);
/// assert_eq!(holding.share(key, now), sizes::RequestCount::new(0));
/// let ask = holding.ask(epochs::LeaseTerm::new(1), &Default::default(), now);
/// assert_eq!(ask.total, 0);
/// # Ok::<(), ids::NameError>(())
/// ```
#[derive(Debug)]
pub struct ShareHolding {
    terms: shares::ShareTerms,
    round: u64,
    term: epochs::LeaseTerm,
    asked_at: times::BootTime,
    /// Whether an answer to the last question came.
    answered: bool,
    held: collections::BTreeMap<messages::ShareKey, HeldShare>,
}

#[derive(Debug, Clone, Copy, Default)]
struct HeldShare {
    amount: sizes::RequestCount,
    limit: sizes::RequestCount,
    ends_at: times::BootTime,
}

impl HeldShare {
    fn usable(&self, now: times::BootTime) -> sizes::RequestCount {
        if now < self.ends_at {
            self.amount
        } else {
            sizes::RequestCount::new(0)
        }
    }
}

impl ShareHolding {
    /// Creates an empty holding.
    pub const fn new(terms: shares::ShareTerms) -> Self {
        Self {
            terms,
            round: 0,
            term: epochs::LeaseTerm::new(0),
            asked_at: times::BootTime::from_micros(0),
            answered: false,
            held: collections::BTreeMap::new(),
        }
    }

    /// Makes the next question; whoever starts work must have seen every lower share by then.
    ///
    /// `demand` names every target at which the node has lent work running or wants some; what it
    /// does not name is given up.
    pub fn ask(
        &mut self,
        term: epochs::LeaseTerm,
        demand: &collections::BTreeMap<messages::ShareKey, shares::ShareDemand>,
        now: times::BootTime,
    ) -> messages::ShareAsk {
        self.round += 1;
        self.term = term;
        self.asked_at = now;
        self.answered = false;
        self.held.retain(|key, _| demand.contains_key(key));
        let entries = demand
            .iter()
            .map(|(key, need)| self.ask_entry(*key, *need, now))
            .collect::<Vec<_>>();
        messages::ShareAsk {
            round: self.round,
            term,
            total: u32::try_from(entries.len()).unwrap_or(u32::MAX),
            entries,
        }
    }

    /// Takes in an answer; entries of an answer to an earlier question are ignored.
    pub fn take(&mut self, grant: &messages::ShareGrant) {
        if grant.round != self.round || grant.term != self.term {
            return;
        }
        self.answered = true;
        let life = time::Duration::from_millis(grant.life_ms.into()).min(self.terms.life);
        for entry in &grant.entries {
            let share = HeldShare {
                amount: entry.amount,
                limit: entry.limit,
                ends_at: self.asked_at.after(life),
            };
            self.held.insert(entry.key, share);
        }
    }

    /// Drops everything, as after a pause.
    pub fn drop_all(&mut self) {
        self.held.clear();
    }

    /// Tells whether the lease holder answered the last question and knew the target.
    pub fn is_settled(&self, key: messages::ShareKey) -> bool {
        let held = self.held.get(&key);
        self.answered && held.is_some_and(|held| held.limit > sizes::RequestCount::new(0))
    }

    /// Returns what may be in flight beyond the fixed part.
    pub fn share(&self, key: messages::ShareKey, now: times::BootTime) -> sizes::RequestCount {
        let held = self.held.get(&key);
        held.map_or_else(sizes::RequestCount::default, |held| held.usable(now))
    }

    /// Returns what may be in flight when this node's own evidence says that the target bears
    /// only `bearable` of its `full` limit.
    ///
    /// A share that was granted under a higher limit is cut in proportion, so that all nodes with
    /// this evidence stay within it together, before the lease holder has spoken.
    pub fn bearable_share(
        &self,
        key: messages::ShareKey,
        bearable: sizes::RequestCount,
        full: sizes::RequestCount,
        now: times::BootTime,
    ) -> sizes::RequestCount {
        let Some(held) = self.held.get(&key) else {
            return sizes::RequestCount::new(0);
        };
        let usable = held.usable(now);
        if bearable >= held.limit || full.get() == 0 {
            return usable;
        }
        let cut = u64::from(usable.get()) * u64::from(bearable.get()) / u64::from(full.get());
        sizes::RequestCount::new(u32::try_from(cut).unwrap_or(0))
    }

    fn ask_entry(
        &mut self,
        key: messages::ShareKey,
        need: shares::ShareDemand,
        now: times::BootTime,
    ) -> messages::AskEntry {
        let keep = self.share(key, now);
        if let Some(held) = self.held.get_mut(&key) {
            held.amount = keep;
        }
        let nothing = sizes::RequestCount::new(0);
        let wanted = if need.wanted > nothing {
            need.wanted.max(need.running)
        } else {
            nothing
        };
        messages::AskEntry {
            key,
            keep,
            running: need.running,
            wanted,
        }
    }
}
