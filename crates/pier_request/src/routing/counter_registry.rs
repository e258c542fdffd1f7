//! The counters of all targets, over all tables.

use std::{collections, sync};

use pier_types::{epochs, ids, routes};

use crate::routing;

/// Identifies a counter.
type CounterKey = (ids::TargetId, epochs::GroupGeneration);

/// Keeps each target's counter while tables are replaced, as long as it is in use.
#[derive(Debug, Clone, Default)]
pub struct CounterRegistry {
    counters: collections::BTreeMap<CounterKey, sync::Arc<routing::TargetCounter>>,
}

impl CounterRegistry {
    /// Returns the counter of a target at its generation.
    pub(super) fn counter(
        &mut self,
        target: &routes::RouteTarget,
    ) -> sync::Arc<routing::TargetCounter> {
        let key = (target.target.clone(), target.generation);
        sync::Arc::clone(self.counters.entry(key).or_default())
    }

    /// Forgets counters that no view and no request holds.
    pub(super) fn remove_unused(&mut self) {
        self.counters
            .retain(|_key, counter| sync::Arc::strong_count(counter) > 1);
    }

    /// Returns how many counters are kept.
    pub fn len(&self) -> usize {
        self.counters.len()
    }

    /// Tells whether no counter is kept.
    pub fn is_empty(&self) -> bool {
        self.counters.is_empty()
    }
}
