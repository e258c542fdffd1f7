//! Data centres that recently refused forwarded requests for lack of capacity.

use std::{collections, sync};

use pier_types::{ids, routes, times};

/// Until when each data centre is skipped, by pool.
#[derive(Debug, Clone, Default)]
pub(super) struct FullCentres {
    until: collections::BTreeMap<(routes::PoolKey, ids::DataCentreName), times::BootTime>,
}

impl FullCentres {
    /// Returns a copy with one more data centre and without expired entries.
    pub(super) fn with(
        &self,
        pool: &routes::PoolKey,
        data_centre: &ids::DataCentreName,
        until: times::BootTime,
        now: times::BootTime,
    ) -> sync::Arc<Self> {
        let mut full = self.clone();
        full.until.retain(|_key, until| *until > now);
        full.until
            .insert((pool.clone(), data_centre.clone()), until);
        sync::Arc::new(full)
    }

    /// Returns whether a data centre is skipped for a pool.
    pub(super) fn contains(
        &self,
        pool: &routes::PoolKey,
        data_centre: &ids::DataCentreName,
        now: times::BootTime,
    ) -> bool {
        let key = (pool.clone(), data_centre.clone());
        self.until.get(&key).is_some_and(|until| *until > now)
    }
}
