//! The index of cached prefixes, built from cache events that may be late or have gaps.

use std::collections;

use pier_types::{epochs, ids};

use crate::routing;

/// Tracks which targets hold which prefix; one task owns it and publishes snapshots.
///
/// ```
/// use pier_request::routing;
/// use pier_types::{epochs, ids};
///
/// let target = ids::TargetId::Vm("vm-1".parse()?);
/// let prefix = routing::PrefixHash::of_prompt("user: hello\n");
/// let event = routing::CacheEvent {
///     sequence: epochs::EventSequence::new(1),
///     change: routing::CacheChange::Stored,
///     prefix,
/// };
/// let mut index = routing::PrefixIndex::default();
/// index.apply(&target, epochs::GroupGeneration::new(1), &[event]);
/// assert!(index.snapshot().holders(prefix).is_some_and(|holders| holders.contains(&target)));
/// # Ok::<(), ids::NameError>(())
/// ```
#[derive(Debug, Default)]
pub struct PrefixIndex {
    targets: collections::BTreeMap<ids::TargetId, routing::TargetPrefixes>,
    holders: routing::PrefixSnapshot,
}

impl PrefixIndex {
    /// Returns the sequence number of the last event of a target; the next pull starts after it.
    pub fn latest(&self, target: &ids::TargetId) -> epochs::EventSequence {
        let prefixes = self.targets.get(target);
        prefixes
            .and_then(routing::TargetPrefixes::latest)
            .unwrap_or_default()
    }

    /// Applies events of one target in the order of their sequence numbers.
    ///
    /// A gap may hide evictions, and a new generation starts with an empty cache; both clear the
    /// prefixes of the target first.
    pub fn apply(
        &mut self,
        target: &ids::TargetId,
        generation: epochs::GroupGeneration,
        events: &[routing::CacheEvent],
    ) {
        let known = self.targets.get(target).map(|known| known.generation);
        if known != Some(generation) {
            self.reset(target, generation);
        }
        for event in events {
            self.apply_one(target, generation, event);
        }
    }

    /// Clears the prefixes of a target, for example when its sequence numbers start again.
    pub fn reset(&mut self, target: &ids::TargetId, generation: epochs::GroupGeneration) {
        let fresh = routing::TargetPrefixes::new(generation);
        let Some(old) = self.targets.insert(target.clone(), fresh) else {
            return;
        };
        for prefix in old.prefixes() {
            self.holders.remove(prefix, target);
        }
    }

    /// Removes the targets for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&ids::TargetId) -> bool) {
        let gone: Vec<_> = self
            .targets
            .keys()
            .filter(|target| !is_kept(target))
            .cloned()
            .collect();
        for target in gone {
            self.reset(&target, epochs::GroupGeneration::default());
            self.targets.remove(&target);
        }
    }

    /// Returns a snapshot for requests; the next change to a shard then has to copy that shard.
    pub fn snapshot(&self) -> routing::PrefixSnapshot {
        self.holders.clone()
    }

    fn apply_one(
        &mut self,
        target: &ids::TargetId,
        generation: epochs::GroupGeneration,
        event: &routing::CacheEvent,
    ) {
        let Some(prefixes) = self.targets.get(target) else {
            return;
        };
        if prefixes.has_seen(event.sequence) {
            return;
        }
        if prefixes.is_gap(event.sequence) {
            self.reset(target, generation);
        }
        let Some(prefixes) = self.targets.get_mut(target) else {
            return;
        };
        let dropped = prefixes.apply(event);
        if event.change == routing::CacheChange::Stored {
            self.holders.add(event.prefix, target);
        }
        if let Some(prefix) = dropped {
            self.holders.remove(prefix, target);
        }
    }
}
