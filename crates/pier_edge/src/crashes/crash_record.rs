//! The record of crashes in the store.

use std::collections;

use pier_request::quarantine;
use pier_types::{epochs, ids, times};
use serde::{Deserialize, Serialize};

/// Most marks in the record; the newest are kept.
const MAX_STORED_MARKS: usize = 256;

/// The crashes of requests that were on several lost targets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CrashRecord {
    marks: Vec<StoredMark>,
}

/// A mark with the time of day, since its readers may be other VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StoredMark {
    /// The fingerprint as text, since numbers in the store keep 53 bits.
    request: String,
    vm: ids::VmName,
    born: u64,
    suspects: u32,
    cleared: bool,
    /// Milliseconds since the Unix epoch.
    seen_at: u64,
}

impl CrashRecord {
    /// Builds the record of the requests that have marks of at least two crashes.
    pub(crate) fn new(marks: Vec<quarantine::CrashMark>, wall_now: times::WallTime) -> Self {
        let mut counts: collections::BTreeMap<_, u32> = collections::BTreeMap::new();
        for mark in &marks {
            *counts.entry(mark.fingerprint).or_default() += 1;
        }
        let repeated = marks.into_iter().filter(|mark| {
            counts
                .get(&mark.fingerprint)
                .is_some_and(|count| *count >= 2)
        });
        let mut stored: Vec<_> = repeated
            .filter_map(|mark| StoredMark::new(mark, wall_now))
            .collect();
        stored.sort_by_key(|mark| std::cmp::Reverse(mark.seen_at));
        stored.truncate(MAX_STORED_MARKS);
        Self { marks: stored }
    }

    /// Parses a record; one that cannot be read counts as empty, so that the next write repairs it.
    pub(crate) fn parse(text: &str) -> Self {
        serde_json::from_str(text).unwrap_or_else(|error| {
            log::warn!(event = "crash-record-unreadable", cause:% = error; "");
            Self::default()
        })
    }

    /// Returns the marks with their ages at the given time of day; unreadable ones are left out.
    pub(crate) fn to_delta(&self, wall_now: times::WallTime) -> quarantine::CrashDelta {
        let marks = self.marks.iter().filter_map(|mark| {
            let fingerprint = mark.request.parse().ok()?;
            Some(quarantine::CrashMark {
                fingerprint,
                target: ids::TargetId::Vm(mark.vm.clone()),
                generation: epochs::GroupGeneration::new(mark.born),
                suspects: mark.suspects,
                cleared: mark.cleared,
                age_ms: wall_now.as_millis().saturating_sub(mark.seen_at),
            })
        });
        quarantine::CrashDelta {
            marks: marks.collect(),
        }
    }

    /// Returns whether the record has no mark.
    pub(crate) const fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    /// Returns whether this record has every mark of the other one, cleared ones as cleared.
    pub(crate) fn covers(&self, other: &Self) -> bool {
        other.marks.iter().all(|wanted| {
            self.marks.iter().any(|mark| {
                mark.request == wanted.request
                    && mark.vm == wanted.vm
                    && mark.born == wanted.born
                    && mark.cleared >= wanted.cleared
            })
        })
    }
}

impl StoredMark {
    fn new(mark: quarantine::CrashMark, wall_now: times::WallTime) -> Option<Self> {
        let ids::TargetId::Vm(vm) = mark.target else {
            return None;
        };
        Some(Self {
            request: mark.fingerprint.to_string(),
            vm,
            born: mark.generation.get(),
            suspects: mark.suspects,
            cleared: mark.cleared,
            seen_at: wall_now.as_millis().saturating_sub(mark.age_ms),
        })
    }
}
