//! When a node asks the lease holder for shares.

use std::{collections, time};

use pier_types::{epochs, sizes, times};
use pier_wire::messages;

use crate::shares;

/// Time between two asks while the node has the number that it wants, or still wants the number
/// that the lease holder has already answered.
const SETTLED_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Time between two asks while the node wants a different number than before and more than its
/// share, or while its last ask was not answered.
const UNMET_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Minimum time between two asks, also when something changed.
const MIN_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Decides when this node sends its next [`messages::ShareAsk`].
///
/// Asks again after the minimum interval when that may bring more: for a new target, after a
/// change of the lease holder, or when a share that covered the last wanted number is used up. A
/// wanted number that was not granted and stays the same is repeated at the slow rate, unless the
/// ask was not answered or the lease holder does not know the target yet.
///
/// ```
/// use pier_limits::shares;
/// use pier_types::{epochs, times};
///
/// let mut schedule = shares::AskSchedule::default();
/// let holding = shares::ShareHolding::new(shares::SharePolicy::default());
/// let (term, demand) = (epochs::LeaseTerm::new(1), Default::default());
/// let now = times::BootTime::from_millis(5_000);
/// assert!(schedule.is_due(term, &demand, &holding, now));
/// schedule.record_ask(term, &demand, now);
/// assert!(!schedule.is_due(term, &demand, &holding, times::BootTime::from_millis(6_900)));
/// assert!(schedule.is_due(term, &demand, &holding, times::BootTime::from_millis(7_000)));
/// ```
#[derive(Debug, Default)]
pub struct AskSchedule {
    asked_at: times::BootTime,
    term: epochs::LeaseTerm,
    /// The wanted number of each target in the last ask.
    wanted: collections::BTreeMap<messages::ShareKey, sizes::RequestCount>,
}

impl AskSchedule {
    /// Returns whether an ask is due now.
    pub fn is_due(
        &self,
        term: epochs::LeaseTerm,
        demand: &collections::BTreeMap<messages::ShareKey, shares::ShareDemand>,
        holding: &shares::ShareHolding,
        now: times::BootTime,
    ) -> bool {
        let intervals = demand
            .iter()
            .map(|(key, need)| self.interval(*key, *need, holding, now));
        let interval = if term == self.term {
            intervals.min().unwrap_or(SETTLED_INTERVAL)
        } else {
            MIN_INTERVAL
        };
        now.since(self.asked_at) >= interval
    }

    /// Records that an ask was sent.
    pub fn record_ask(
        &mut self,
        term: epochs::LeaseTerm,
        demand: &collections::BTreeMap<messages::ShareKey, shares::ShareDemand>,
        now: times::BootTime,
    ) {
        self.asked_at = now;
        self.term = term;
        let wanted = demand.iter().map(|(key, need)| (*key, need.wanted));
        self.wanted = wanted.collect();
    }

    /// Returns the time between two asks that one target's demand calls for.
    fn interval(
        &self,
        key: messages::ShareKey,
        need: shares::ShareDemand,
        holding: &shares::ShareHolding,
        now: times::BootTime,
    ) -> time::Duration {
        let share = holding.share(key, now);
        if need.wanted <= share {
            return SETTLED_INTERVAL;
        }
        let Some(asked) = self.wanted.get(&key) else {
            return MIN_INTERVAL;
        };
        if *asked == need.wanted && holding.is_settled(key) {
            return SETTLED_INTERVAL;
        }
        let used_up = need.running >= share;
        if used_up && *asked <= share {
            return MIN_INTERVAL;
        }
        UNMET_INTERVAL
    }
}
