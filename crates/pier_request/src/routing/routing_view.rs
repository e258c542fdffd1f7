//! The route table, prepared for routing decisions.

use std::{collections, sync};

use pier_types::{ids, routes};

use crate::routing;

/// An immutable view of a [`RouteTable`](routes::RouteTable); a new table gets a new view.
///
/// ```
/// use pier_request::routing;
/// use pier_types::routes;
///
/// let mut counters = routing::CounterRegistry::default();
/// let table = routes::RouteTable::default();
/// let old = routing::RoutingView::default();
/// let view = old.replace(&table, &"mvd-a".parse()?, &mut counters);
/// assert!(view.pool(&routes::PoolKey::Model("draft".parse()?)).is_none());
/// # Ok::<(), pier_types::ids::NameError>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct RoutingView {
    pools: collections::BTreeMap<routes::PoolKey, routing::PoolView>,
}

impl RoutingView {
    /// Returns the view of a newer table; targets that remain keep their counters.
    #[must_use]
    pub fn replace(
        &self,
        table: &routes::RouteTable,
        data_centre: &ids::DataCentreName,
        counters: &mut routing::CounterRegistry,
    ) -> Self {
        let previous = self.previous_entries();
        let mut view = Self::default();
        for (key, targets) in &table.pools {
            let pool = view.pools.entry(key.clone()).or_default();
            for target in targets {
                let entry = to_entry(target, &previous, counters);
                pool.add(entry, target.data_centre == *data_centre);
            }
        }
        counters.remove_unused();
        view
    }

    /// Returns a pool; `None` when the table has no pool for the key.
    pub fn pool(&self, key: &routes::PoolKey) -> Option<&routing::PoolView> {
        self.pools.get(key)
    }

    /// Returns every pool.
    pub fn pools(&self) -> impl Iterator<Item = (&routes::PoolKey, &routing::PoolView)> {
        self.pools.iter()
    }

    fn previous_entries(&self) -> collections::BTreeMap<&ids::TargetId, &routing::RouteEntry> {
        let entries = self.pools.values().flat_map(routing::PoolView::entries);
        entries.map(|entry| (&entry.target.target, entry)).collect()
    }
}

fn to_entry(
    target: &sync::Arc<routes::RouteTarget>,
    previous: &collections::BTreeMap<&ids::TargetId, &routing::RouteEntry>,
    counters: &mut routing::CounterRegistry,
) -> routing::RouteEntry {
    let counter = counters.counter(target);
    // Reset the base only with a new report, which already accounts for the requests that ended
    // before it.
    let same_report = previous.get(&target.target).filter(|entry| {
        entry.target.load.probed_at == target.load.probed_at
            && entry.target.generation == target.generation
    });
    let finished_base = same_report.map_or(counter.finished(), |entry| entry.finished_base);
    routing::RouteEntry {
        target: sync::Arc::clone(target),
        counter,
        finished_base,
    }
}
