//! The prefix cache of one engine.

use std::collections;

/// Most prefixes that the cache of an engine holds.
const CAPACITY: usize = 256;

/// Holds the most recently used prefixes.
#[derive(Debug, Clone, Default)]
pub struct LruCache {
    by_prefix: collections::BTreeMap<usize, u64>,
    by_use: collections::BTreeMap<u64, usize>,
    uses: u64,
}

impl LruCache {
    /// Returns whether a prefix is held.
    pub fn holds(&self, prefix: usize) -> bool {
        self.by_prefix.contains_key(&prefix)
    }

    /// Adds a prefix or marks it as most recently used; returns whether it was held.
    pub fn touch(&mut self, prefix: usize) -> bool {
        self.uses += 1;
        let former = self.by_prefix.insert(prefix, self.uses);
        if let Some(former) = former {
            self.by_use.remove(&former);
        }
        self.by_use.insert(self.uses, prefix);
        if self.by_prefix.len() > CAPACITY
            && let Some((_use, oldest)) = self.by_use.pop_first()
        {
            self.by_prefix.remove(&oldest);
        }
        former.is_some()
    }

    /// Returns the held prefixes, least recently used first.
    pub fn prefixes(&self) -> impl Iterator<Item = usize> {
        self.by_use.values().copied()
    }
}
