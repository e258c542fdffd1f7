//! The prefix cache (KV cache) and its events.

use std::{collections, time};

use pier_types::{epochs, times};
use serde::{Deserialize, Serialize};

/// Events that are kept for readers; older ones are dropped.
const MAX_EVENTS: usize = 4_096;

/// The kind of a cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEventKind {
    /// The prefix was stored.
    Stored,
    /// The prefix was evicted.
    Evicted,
}

/// One change of the cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The event's sequence number.
    pub sequence: epochs::EventSequence,
    /// What happened to the prefix.
    pub kind: CacheEventKind,
    /// The prefix's hash.
    pub prefix: String,
}

/// An LRU cache of prompt prefixes.
#[derive(Debug, Clone)]
pub struct PrefixCache {
    limit: usize,
    lag: time::Duration,
    prefixes: collections::VecDeque<String>,
    events: collections::VecDeque<(times::BootTime, CacheEvent)>,
    latest: epochs::EventSequence,
    gaps: u32,
}

impl PrefixCache {
    /// Creates an empty cache whose events become readable after `lag`.
    pub fn new(limit: usize, lag: time::Duration) -> Self {
        Self {
            limit,
            lag,
            prefixes: collections::VecDeque::new(),
            events: collections::VecDeque::new(),
            latest: epochs::EventSequence::default(),
            gaps: 0,
        }
    }

    /// Returns whether a prefix is cached.
    pub fn contains(&self, prefix: &str) -> bool {
        self.prefixes.iter().any(|held| held == prefix)
    }

    /// Stores a prefix or marks it as most recently used; returns whether it was already cached.
    pub fn touch(&mut self, prefix: &str, now: times::BootTime) -> bool {
        let index = self.prefixes.iter().position(|held| held == prefix);
        if let Some(index) = index {
            self.prefixes.remove(index);
        } else {
            self.record_event(CacheEventKind::Stored, prefix, now);
        }
        self.prefixes.push_back(prefix.to_owned());
        while self.prefixes.len() > self.limit {
            if let Some(evicted) = self.prefixes.pop_front() {
                self.record_event(CacheEventKind::Evicted, &evicted, now);
            }
        }
        index.is_some()
    }

    /// Drops every prefix without emitting events, as a restart does.
    pub fn clear(&mut self) {
        self.prefixes.clear();
    }

    /// Loses the next `count` events; their sequence numbers are skipped.
    pub fn lose_events(&mut self, count: u32) {
        self.gaps += count;
    }

    /// Returns the readable events after a sequence number.
    ///
    /// Also returns the latest sequence number, which counts lost and not yet readable events.
    pub fn events_after(
        &self,
        after: epochs::EventSequence,
        now: times::BootTime,
    ) -> (Vec<CacheEvent>, epochs::EventSequence) {
        let readable = self
            .events
            .iter()
            .filter(|(recorded_at, _event)| now.since(*recorded_at) >= self.lag);
        let events = readable
            .map(|(_noted_at, event)| event.clone())
            .filter(|event| event.sequence > after)
            .collect();
        (events, self.latest)
    }

    fn record_event(&mut self, kind: CacheEventKind, prefix: &str, now: times::BootTime) {
        self.latest = self.latest.next();
        if self.gaps > 0 {
            self.gaps -= 1;
            return;
        }
        let event = CacheEvent {
            sequence: self.latest,
            kind,
            prefix: prefix.to_owned(),
        };
        self.events.push_back((now, event));
        while self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
