//! The counters of all targets, shared by successive route tables.

use std::{collections, sync};

use pier_types::{epochs, ids, routes};

use crate::routing;

/// Identifies a counter: the target and its generation.
type CounterKey = (ids::TargetId, epochs::GroupGeneration);

/// Keeps the counter of each target in use across replacements of the route table.
#[derive(Debug, Clone, Default)]
pub struct CounterRegistry {
    counters: collections::BTreeMap<CounterKey, sync::Arc<routing::TargetCounter>>,
}

impl CounterRegistry {
    /// Returns the counter of a target at its generation, and creates it if needed.
    pub(super) fn counter(
        &mut self,
        target: &routes::RouteTarget,
    ) -> sync::Arc<routing::TargetCounter> {
        let key = (target.target.clone(), target.generation);
        sync::Arc::clone(self.counters.entry(key).or_default())
    }

    /// Removes counters that no view and no request refers to.
    pub(super) fn remove_unused(&mut self) {
        self.counters
            .retain(|_key, counter| sync::Arc::strong_count(counter) > 1);
    }

    /// Returns how many counters are kept.
    pub fn len(&self) -> usize {
        self.counters.len()
    }

    /// Returns whether no counter is kept.
    pub fn is_empty(&self) -> bool {
        self.counters.is_empty()
    }
}
