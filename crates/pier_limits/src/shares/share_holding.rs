//! The shares that were granted to this node.

use std::{collections, time};

use pier_types::{epochs, sizes, times};
use pier_wire::messages;

use crate::shares;

/// The shares granted to this node, and until when it may start work under each.
///
/// Each ask names the share that the node keeps. From then on the node uses at most that, until
/// the grant that answers this very ask raises or lowers it; a grant for an earlier ask is
/// dropped. So the lease holder's upper bound holds even if messages are lost, delayed or
/// duplicated. A share's lifetime starts when the ask is sent.
///
/// ```
/// use pier_limits::shares;
/// use pier_types::{epochs, ids, sizes, times};
/// use pier_wire::messages;
///
/// let mut holding = shares::ShareHolding::new(shares::SharePolicy::default());
/// let key = messages::ShareKey::of(&ids::TargetId::Vm("ledger-1".parse()?), 1);
/// let now = times::BootTime::from_millis(500);
/// assert_eq!(holding.share(key, now), sizes::RequestCount::new(0));
/// let ask = holding.ask(epochs::LeaseTerm::new(1), &Default::default(), now);
/// assert_eq!(ask.total, 0);
/// # Ok::<(), ids::NameError>(())
/// ```
#[derive(Debug)]
pub struct ShareHolding {
    policy: shares::SharePolicy,
    round: u64,
    term: epochs::LeaseTerm,
    asked_at: times::BootTime,
    /// Whether the last ask was answered.
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
    /// Creates a holding without shares.
    pub const fn new(policy: shares::SharePolicy) -> Self {
        Self {
            policy,
            round: 0,
            term: epochs::LeaseTerm::new(0),
            asked_at: times::BootTime::from_micros(0),
            answered: false,
            held: collections::BTreeMap::new(),
        }
    }

    /// Creates the next ask. From then on, the caller must start no work under a higher share than
    /// the ask names.
    ///
    /// `demand` names every target at which the node has work running under a granted share or
    /// wants some; the shares of all other targets are given up.
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

    /// Applies a grant; a grant for an earlier ask is ignored.
    pub fn apply_grant(&mut self, grant: &messages::ShareGrant) {
        if grant.round != self.round || grant.term != self.term {
            return;
        }
        self.answered = true;
        let lifetime = time::Duration::from_millis(grant.life_ms.into()).min(self.policy.life);
        for entry in &grant.entries {
            let share = HeldShare {
                amount: entry.amount,
                limit: entry.limit,
                ends_at: self.asked_at.after(lifetime),
            };
            self.held.insert(entry.key, share);
        }
    }

    /// Drops all shares, as needed after this node was paused.
    pub fn drop_all(&mut self) {
        self.held.clear();
    }

    /// Returns whether the lease holder answered the last ask and knew the target.
    pub fn is_settled(&self, key: messages::ShareKey) -> bool {
        let held = self.held.get(&key);
        self.answered && held.is_some_and(|held| held.limit > sizes::RequestCount::new(0))
    }

    /// Returns the number of requests that may be in flight beyond the fixed part.
    pub fn share(&self, key: messages::ShareKey, now: times::BootTime) -> sizes::RequestCount {
        let held = self.held.get(&key);
        held.map_or_else(sizes::RequestCount::default, |held| held.usable(now))
    }

    /// Returns the number of requests that may be in flight when this node's own evidence says
    /// that the target can handle only `observed_limit` of its `full` limit.
    ///
    /// A share that was granted under a higher limit is reduced in proportion. So all nodes that
    /// have this evidence stay within the lower limit together before the lease holder has sent
    /// new grants.
    pub fn limited_share(
        &self,
        key: messages::ShareKey,
        observed_limit: sizes::RequestCount,
        full: sizes::RequestCount,
        now: times::BootTime,
    ) -> sizes::RequestCount {
        let Some(held) = self.held.get(&key) else {
            return sizes::RequestCount::new(0);
        };
        let usable = held.usable(now);
        if observed_limit >= held.limit || full.get() == 0 {
            return usable;
        }
        let cut = u64::from(usable.get()) * u64::from(observed_limit.get()) / u64::from(full.get());
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
