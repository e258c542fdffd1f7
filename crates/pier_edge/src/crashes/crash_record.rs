//! The record of crashes in the store.

use std::collections;

use pier_request::{prompt_parts, quarantine};
use pier_types::{epochs, ids, times};
use serde::{Deserialize, Serialize};

/// Most marks in the record; the newest are kept.
const MAX_STORED_MARKS: usize = 256;

/// Fewest crashes of a part of a prompt that is stored.
const MIN_PART_CRASHES: u32 = 2;

/// The crashes of requests, and of parts of prompts, that were on several lost targets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CrashRecord {
    marks: Vec<StoredMark>,
    /// Missing in records of older nodes.
    #[serde(default)]
    parts: Vec<StoredPartMark>,
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

/// A mark of a part, like [`StoredMark`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StoredPartMark {
    part: String,
    request: String,
    vm: ids::VmName,
    born: u64,
    seen_at: u64,
}

impl CrashRecord {
    /// Builds the record of the requests and parts that have marks of at least two crashes.
    pub(crate) fn new(
        marks: Vec<quarantine::CrashMark>,
        part_marks: Vec<prompt_parts::PartMark>,
        wall_now: times::WallTime,
    ) -> Self {
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
        Self {
            marks: stored,
            parts: stored_parts(part_marks, wall_now),
        }
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

    /// Returns the marks of parts with their ages at the given time of day; unreadable ones are left
    /// out.
    pub(crate) fn to_part_delta(&self, wall_now: times::WallTime) -> prompt_parts::PartDelta {
        let marks = self.parts.iter().filter_map(|mark| {
            Some(prompt_parts::PartMark {
                part: mark.part.parse().ok()?,
                request: mark.request.parse().ok()?,
                target: ids::TargetId::Vm(mark.vm.clone()),
                generation: epochs::GroupGeneration::new(mark.born),
                cleared: false,
                age_ms: wall_now.as_millis().saturating_sub(mark.seen_at),
            })
        });
        prompt_parts::PartDelta {
            marks: marks.collect(),
        }
    }

    /// Returns whether the record has no mark.
    pub(crate) const fn is_empty(&self) -> bool {
        self.marks.is_empty() && self.parts.is_empty()
    }

    /// Returns whether this record has every mark of the other one, cleared ones as cleared.
    pub(crate) fn covers(&self, other: &Self) -> bool {
        let has_parts = other.parts.iter().all(|wanted| {
            self.parts.iter().any(|mark| {
                mark.part == wanted.part && mark.vm == wanted.vm && mark.born == wanted.born
            })
        });
        let has_marks = other.marks.iter().all(|wanted| {
            self.marks.iter().any(|mark| {
                mark.request == wanted.request
                    && mark.vm == wanted.vm
                    && mark.born == wanted.born
                    && mark.cleared >= wanted.cleared
            })
        });
        has_parts && has_marks
    }

    /// Returns whether the record has a mark of a part that has been cleared since it was written.
    pub(crate) fn has_cleared(&self, marks: &[prompt_parts::PartMark]) -> bool {
        let cleared = marks.iter().filter(|mark| mark.cleared);
        let cleared: collections::BTreeSet<_> = cleared
            .map(|mark| {
                let target = mark.target.clone();
                (mark.part.to_string(), target, mark.generation.get())
            })
            .collect();
        let mut stored = self.parts.iter();
        stored.any(|mark| {
            let target = ids::TargetId::Vm(mark.vm.clone());
            cleared.contains(&(mark.part.clone(), target, mark.born))
        })
    }
}

/// Returns the newest marks of the parts that were on several crashes and are not known to be sound.
fn stored_parts(
    marks: Vec<prompt_parts::PartMark>,
    wall_now: times::WallTime,
) -> Vec<StoredPartMark> {
    let mut counts: collections::BTreeMap<_, u32> = collections::BTreeMap::new();
    for mark in marks.iter().filter(|mark| !mark.cleared) {
        *counts.entry(mark.part).or_default() += 1;
    }
    let suspect = marks.into_iter().filter(|mark| {
        !mark.cleared
            && counts
                .get(&mark.part)
                .is_some_and(|count| *count >= MIN_PART_CRASHES)
    });
    let mut stored: Vec<_> = suspect
        .filter_map(|mark| StoredPartMark::new(mark, wall_now))
        .collect();
    stored.sort_by_key(|mark| std::cmp::Reverse(mark.seen_at));
    stored.truncate(MAX_STORED_MARKS);
    stored
}

impl StoredPartMark {
    fn new(mark: prompt_parts::PartMark, wall_now: times::WallTime) -> Option<Self> {
        let ids::TargetId::Vm(vm) = mark.target else {
            return None;
        };
        Some(Self {
            part: mark.part.to_string(),
            request: mark.request.to_string(),
            vm,
            born: mark.generation.get(),
            seen_at: wall_now.as_millis().saturating_sub(mark.age_ms),
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
