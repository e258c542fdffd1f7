//! The known cached prefixes of one target.

use std::collections;

use pier_types::epochs;

use crate::routing;

/// Most prefixes kept for a target; the oldest is dropped first.
const MAX_PREFIXES: usize = 256;

/// Cached prefixes of one target, indexed by prefix and by the sequence number of the event.
#[derive(Debug, Default)]
pub(super) struct TargetPrefixes {
    pub(super) generation: epochs::GroupGeneration,
    latest: Option<epochs::EventSequence>,
    by_prefix: collections::BTreeMap<routing::PrefixHash, epochs::EventSequence>,
    by_sequence: collections::BTreeMap<epochs::EventSequence, routing::PrefixHash>,
}

impl TargetPrefixes {
    /// Creates the empty set of a generation.
    pub(super) fn new(generation: epochs::GroupGeneration) -> Self {
        Self {
            generation,
            ..Self::default()
        }
    }

    /// Returns the sequence number of the last applied event.
    pub(super) const fn latest(&self) -> Option<epochs::EventSequence> {
        self.latest
    }

    /// Returns whether an event was already applied.
    pub(super) fn has_seen(&self, sequence: epochs::EventSequence) -> bool {
        self.latest.is_some_and(|latest| sequence <= latest)
    }

    /// Returns whether events are missing before this one.
    pub(super) fn is_gap(&self, sequence: epochs::EventSequence) -> bool {
        self.latest.is_some_and(|latest| sequence > latest.next())
    }

    /// Applies an event and returns the prefix that it removed from the set, if any.
    pub(super) fn apply(&mut self, event: &routing::CacheEvent) -> Option<routing::PrefixHash> {
        self.latest = Some(event.sequence);
        if let Some(old) = self.by_prefix.remove(&event.prefix) {
            self.by_sequence.remove(&old);
        }
        if event.change == routing::CacheChange::Evicted {
            return Some(event.prefix);
        }
        self.by_prefix.insert(event.prefix, event.sequence);
        self.by_sequence.insert(event.sequence, event.prefix);
        if self.by_prefix.len() <= MAX_PREFIXES {
            return None;
        }
        let (_sequence, oldest) = self.by_sequence.pop_first()?;
        self.by_prefix.remove(&oldest);
        Some(oldest)
    }

    /// Returns every prefix.
    pub(super) fn prefixes(&self) -> impl Iterator<Item = routing::PrefixHash> {
        self.by_prefix.keys().copied()
    }
}
