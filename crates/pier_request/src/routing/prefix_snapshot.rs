//! The immutable form of the prefix index that requests read.

use std::{collections, sync};

use pier_types::ids;

use crate::routing;

/// Shards of the index; a change copies at most one of them.
const SHARD_COUNT: u64 = 64;

/// The targets that hold a prefix.
type HolderMap = collections::BTreeMap<routing::PrefixHash, collections::BTreeSet<ids::TargetId>>;

/// A snapshot of the index; cloning it is cheap.
#[derive(Debug, Clone)]
pub struct PrefixSnapshot {
    shards: Vec<sync::Arc<HolderMap>>,
}

impl Default for PrefixSnapshot {
    fn default() -> Self {
        let shards = (0..SHARD_COUNT)
            .map(|_shard| sync::Arc::default())
            .collect();
        Self { shards }
    }
}

impl PrefixSnapshot {
    /// Returns the targets that hold a prefix.
    pub fn holders(
        &self,
        prefix: routing::PrefixHash,
    ) -> Option<&collections::BTreeSet<ids::TargetId>> {
        self.shards.get(shard_index(prefix))?.get(&prefix)
    }

    /// Returns how many prefixes are held by at least one target.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.len()).sum()
    }

    /// Returns whether no prefix is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a holder of a prefix.
    pub(super) fn add(&mut self, prefix: routing::PrefixHash, target: &ids::TargetId) {
        let shard = sync::Arc::make_mut(&mut self.shards[shard_index(prefix)]);
        shard.entry(prefix).or_default().insert(target.clone());
    }

    /// Removes a holder of a prefix.
    pub(super) fn remove(&mut self, prefix: routing::PrefixHash, target: &ids::TargetId) {
        let shard = sync::Arc::make_mut(&mut self.shards[shard_index(prefix)]);
        let Some(holders) = shard.get_mut(&prefix) else {
            return;
        };
        holders.remove(target);
        if holders.is_empty() {
            shard.remove(&prefix);
        }
    }
}

fn shard_index(prefix: routing::PrefixHash) -> usize {
    usize::try_from(prefix.shard(SHARD_COUNT)).unwrap_or(0)
}
