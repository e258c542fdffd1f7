//! Evaluates what the engines of one data centre recorded.

use std::time;

use pier_fakes::record;
use pier_types::times;

/// Evaluates the records of engines.
#[derive(Debug, Clone, Copy)]
pub struct EngineReview<'a> {
    engines: &'a [Vec<record::RecordEntry>],
}

impl<'a> EngineReview<'a> {
    /// Creates a review from the completions that reached each engine.
    pub const fn new(engines: &'a [Vec<record::RecordEntry>]) -> Self {
        Self { engines }
    }

    /// Returns the maximum of concurrent requests at a single engine.
    pub fn max_in_flight(&self) -> usize {
        let engines = self.engines.iter();
        engines.map(|engine| peak(engine)).max().unwrap_or_default()
    }

    /// Returns how many requests were lost because an engine went down.
    pub fn lost(&self) -> usize {
        let entries = self.entries();
        entries
            .filter(|entry| entry.effect.contains("engine down"))
            .count()
    }

    /// Returns how long after `after` the last request that arrived before `before` came.
    ///
    /// Returns `None` when none arrived between the two.
    pub fn last_new_work(
        &self,
        after: times::BootTime,
        before: times::BootTime,
    ) -> Option<time::Duration> {
        let arrivals = self.entries().map(|entry| entry.arrived_at);
        let new = arrivals.filter(|at| *at > after && *at < before);
        new.max().map(|at| at.since(after))
    }

    /// Returns how many requests arrived from `from` until before `until`.
    pub fn arrivals(&self, from: times::BootTime, until: times::BootTime) -> usize {
        let arrivals = self.entries().map(|entry| entry.arrived_at);
        arrivals.filter(|at| *at >= from && *at < until).count()
    }

    fn entries(&self) -> impl Iterator<Item = &record::RecordEntry> {
        self.engines.iter().flatten()
    }
}

/// Returns the maximum of concurrent entries.
///
/// An entry that starts at the moment when another ends does not overlap with it.
fn peak(entries: &[record::RecordEntry]) -> usize {
    let mut changes: Vec<(times::BootTime, i64)> = Vec::new();
    for entry in entries.iter().filter(|entry| entry.started) {
        changes.push((entry.arrived_at, 1));
        changes.extend(entry.ended_at.map(|at| (at, -1)));
    }
    changes.sort_unstable();
    let mut in_flight = 0_i64;
    let mut max = 0;
    for (_at, change) in changes {
        in_flight += change;
        max = max.max(in_flight);
    }
    usize::try_from(max).unwrap_or_default()
}
