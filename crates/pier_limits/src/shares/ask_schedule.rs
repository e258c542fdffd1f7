//! When a node asks for shares.

use std::{collections, time};

use pier_types::{epochs, sizes, times};
use pier_wire::messages;

use crate::shares;

/// Time between two questions while the node has what it wants, or wants what it wanted before.
const SETTLED_ROUND: time::Duration = time::Duration::from_secs(2);

/// Time between two questions while it wants another number than before, above its share, or was not
/// answered.
const UNMET_ROUND: time::Duration = time::Duration::from_secs(1);

/// Least time between two questions, also when something changed.
const LEAST_ROUND: time::Duration = time::Duration::from_millis(300);

/// Tells when the next question is due.
///
/// What may bring more is asked at once: a target that is new, another holder, a share that is used
/// up and covered the last wish. A wish that was not met is repeated seldom while it stays the same,
/// unless the question was not answered, or by a lease holder that does not know the target yet.
///
/// ```
/// use pier_limits::shares;
/// use pier_types::{epochs, times};
///
/// let mut schedule = shares::AskSchedule::default();
/// let holding = shares::ShareHolding::new(shares::ShareTerms::default());
/// let (term, demand) = (epochs::LeaseTerm::new(1), Default::default());
/// let now = times::BootTime::from_millis(5_000);
/// assert!(schedule.is_due(term, &demand, &holding, now));
/// schedule.note(term, &demand, now);
/// assert!(!schedule.is_due(term, &demand, &holding, times::BootTime::from_millis(6_900)));
/// assert!(schedule.is_due(term, &demand, &holding, times::BootTime::from_millis(7_000)));
/// ```
#[derive(Debug, Default)]
pub struct AskSchedule {
    asked_at: times::BootTime,
    term: epochs::LeaseTerm,
    /// What the last question wanted at each target that it named.
    wanted: collections::BTreeMap<messages::ShareKey, sizes::RequestCount>,
}

impl AskSchedule {
    /// Tells whether to ask now.
    pub fn is_due(
        &self,
        term: epochs::LeaseTerm,
        demand: &collections::BTreeMap<messages::ShareKey, shares::ShareDemand>,
        holding: &shares::ShareHolding,
        now: times::BootTime,
    ) -> bool {
        let rounds = demand
            .iter()
            .map(|(key, need)| self.round(*key, *need, holding, now));
        let round = if term == self.term {
            rounds.min().unwrap_or(SETTLED_ROUND)
        } else {
            LEAST_ROUND
        };
        now.since(self.asked_at) >= round
    }

    /// Notes a question.
    pub fn note(
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

    /// Returns the time between two questions that one target asks for.
    fn round(
        &self,
        key: messages::ShareKey,
        need: shares::ShareDemand,
        holding: &shares::ShareHolding,
        now: times::BootTime,
    ) -> time::Duration {
        let share = holding.share(key, now);
        if need.wanted <= share {
            return SETTLED_ROUND;
        }
        let Some(asked) = self.wanted.get(&key) else {
            return LEAST_ROUND;
        };
        if *asked == need.wanted && holding.is_settled(key) {
            return SETTLED_ROUND;
        }
        let used_up = need.running >= share;
        if used_up && *asked <= share {
            return LEAST_ROUND;
        }
        UNMET_ROUND
    }
}
