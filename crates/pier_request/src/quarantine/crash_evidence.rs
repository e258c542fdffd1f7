//! How much the crashes speak against one request.

use std::collections;

use pier_types::ids;

/// Points that put a request into quarantine.
const QUARANTINE_THRESHOLD: u32 = 6;

/// Points of a crash that only this request can have caused.
const SOLE_SUSPECT_POINTS: u32 = 4;

/// Points of a crash with few requests.
const FEW_SUSPECTS_POINTS: u32 = 3;

/// Points of a crash with many requests.
const MANY_SUSPECTS_POINTS: u32 = 2;

/// Points of each further crash of one target.
const REPEAT_CRASH_POINTS: u32 = 1;

/// Most requests that count as few.
const FEW_SUSPECTS_MAX: u32 = 4;

/// Crashes of one target alone that are enough, since a pool may have no other.
const SINGLE_TARGET_MIN_CRASHES: u32 = 3;

/// The sum over the crashes in which one request is implicated.
#[derive(Debug, Default)]
pub(super) struct CrashEvidence<'a> {
    best_points: collections::BTreeMap<&'a ids::TargetId, u32>,
    crashes: u32,
}

impl<'a> CrashEvidence<'a> {
    /// Adds a crash of a target.
    pub(super) fn add(&mut self, target: &'a ids::TargetId, suspects: u32) {
        let points = match suspects {
            0 | 1 => SOLE_SUSPECT_POINTS,
            2..=FEW_SUSPECTS_MAX => FEW_SUSPECTS_POINTS,
            _ => MANY_SUSPECTS_POINTS,
        };
        let best_points = self.best_points.entry(target).or_default();
        *best_points = points.max(*best_points);
        self.crashes += 1;
    }

    /// Tells whether the request has to be kept away.
    pub(super) fn is_enough(&self) -> bool {
        let targets = u32::try_from(self.best_points.len()).unwrap_or(u32::MAX);
        let repeat_crashes = self.crashes.saturating_sub(targets);
        let points: u32 =
            self.best_points.values().sum::<u32>() + repeat_crashes * REPEAT_CRASH_POINTS;
        let enough_crashes = targets >= 2 || self.crashes >= SINGLE_TARGET_MIN_CRASHES;
        enough_crashes && points >= QUARANTINE_THRESHOLD
    }
}
