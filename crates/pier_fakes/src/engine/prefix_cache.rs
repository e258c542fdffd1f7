//! The prefix cache and its events.

use std::{collections, time};

use pier_types::{epochs, times};
use serde::{Deserialize, Serialize};

/// Events that are kept for readers.
const MAX_EVENTS: usize = 4_096;

/// What happened to a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEventKind {
    /// It was stored.
    Stored,
    /// It was evicted.
    Evicted,
}

/// One event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its number.
    pub sequence: epochs::EventSequence,
    /// What happened.
    pub kind: CacheEventKind,
    /// The prefix, by its hash.
    pub prefix: String,
}

/// Holds the prefixes that were used last.
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
    /// Makes an empty cache whose events can be read after a lag.
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

    /// Tells whether a prefix is held.
    pub fn contains(&self, prefix: &str) -> bool {
        self.prefixes.iter().any(|held| held == prefix)
    }

    /// Stores a prefix, or marks it as used last; returns whether it was held.
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

    /// Drops every prefix without telling anyone, as a restart does.
    pub fn clear(&mut self) {
        self.prefixes.clear();
    }

    /// Loses the next events; their numbers stay unused.
    pub fn lose_events(&mut self, count: u32) {
        self.gaps += count;
    }

    /// Returns the events after a number that can be read now, and the number of the last of all.
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
