//! Loads of the past, for reports that lag.

use std::{collections, time};

use pier_types::{sizes, times};

/// Loads that are kept.
const MAX_LOAD_CHANGES: usize = 4_096;

/// How many requests ran and waited at one time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Requests that ran.
    pub running: sizes::RequestCount,
    /// Requests that waited.
    pub queued: sizes::RequestCount,
}

/// Each change of an engine's load.
#[derive(Debug, Clone, Default)]
pub struct LoadHistory {
    changes: collections::VecDeque<(times::BootTime, EngineLoad)>,
}

impl LoadHistory {
    /// Notes a change.
    pub fn record(&mut self, load: EngineLoad, now: times::BootTime) {
        self.changes.push_back((now, load));
        while self.changes.len() > MAX_LOAD_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Returns the load of some time ago; none before the first change.
    pub fn load(&self, age: time::Duration, now: times::BootTime) -> EngineLoad {
        let changes = self.changes.iter().rev();
        let mut seen = changes.filter(|(recorded_at, _load)| now.since(*recorded_at) >= age);
        seen.next().map(|(_at, load)| *load).unwrap_or_default()
    }
}
