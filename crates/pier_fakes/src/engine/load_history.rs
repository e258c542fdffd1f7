//! The recent loads of an engine, for reports that lag.

use std::{collections, time};

use pier_types::{sizes, times};

/// Load changes that are kept; older ones are dropped.
const MAX_LOAD_CHANGES: usize = 4_096;

/// The load of an engine at one time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Requests that were running.
    pub running: sizes::RequestCount,
    /// Requests that were queued.
    pub queued: sizes::RequestCount,
}

/// The changes of an engine's load, oldest first.
#[derive(Debug, Clone, Default)]
pub struct LoadHistory {
    changes: collections::VecDeque<(times::BootTime, EngineLoad)>,
}

impl LoadHistory {
    /// Records the load from `now` on.
    pub fn record(&mut self, load: EngineLoad, now: times::BootTime) {
        self.changes.push_back((now, load));
        while self.changes.len() > MAX_LOAD_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Returns the load `age` before `now`; zero before the first recorded change.
    pub fn load(&self, age: time::Duration, now: times::BootTime) -> EngineLoad {
        let changes = self.changes.iter().rev();
        let mut seen = changes.filter(|(recorded_at, _load)| now.since(*recorded_at) >= age);
        seen.next().map(|(_at, load)| *load).unwrap_or_default()
    }
}
