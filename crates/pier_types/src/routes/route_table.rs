//! The routing table: all targets that may receive new work.

use std::{collections, sync};

use crate::routes;

/// A snapshot of all serving targets, by pool.
///
/// ```
/// use pier_types::routes;
///
/// let table = routes::RouteTable::default();
/// let pool = routes::PoolKey::Model("draft".parse()?);
/// assert!(table.targets(&pool).is_empty());
/// # Ok::<(), pier_types::ids::NameError>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteTable {
    /// The targets of each pool; every pool in the configuration has an entry, which may be empty.
    pub pools: collections::BTreeMap<routes::PoolKey, Vec<sync::Arc<routes::RouteTarget>>>,
}

impl RouteTable {
    /// Returns the targets of a pool; empty if the pool is unknown.
    pub fn targets(&self, pool: &routes::PoolKey) -> &[sync::Arc<routes::RouteTarget>] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }
}
