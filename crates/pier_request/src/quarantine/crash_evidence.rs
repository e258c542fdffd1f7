//! How much the crashes speak against one request.

use std::collections;

use pier_types::ids;

/// Points that put a request into quarantine.
const QUARANTINE_POINTS: u32 = 6;

/// Points of a crash that only this request can have caused.
const ALONE_POINTS: u32 = 4;

/// Points of a crash with few requests.
const FEW_POINTS: u32 = 3;

/// Points of a crash with many requests.
const MANY_POINTS: u32 = 2;

/// Points of each further crash of one target.
const AGAIN_POINTS: u32 = 1;

/// Most requests that count as few.
const FEW_SUSPECTS: u32 = 4;

/// Crashes of one target alone that are enough, since a pool may have no other.
const SINGLE_TARGET_CRASHES: u32 = 3;

/// The sum over the crashes in which one request is implicated.
#[derive(Debug, Default)]
pub(super) struct CrashEvidence<'a> {
    best: collections::BTreeMap<&'a ids::TargetId, u32>,
    crashes: u32,
}

impl<'a> CrashEvidence<'a> {
    /// Adds a crash of a target.
    pub(super) fn add(&mut self, target: &'a ids::TargetId, suspects: u32) {
        let points = match suspects {
            0 | 1 => ALONE_POINTS,
            2..=FEW_SUSPECTS => FEW_POINTS,
            _ => MANY_POINTS,
        };
        let best = self.best.entry(target).or_default();
        *best = points.max(*best);
        self.crashes += 1;
    }

    /// Tells whether the request has to be kept away.
    pub(super) fn is_enough(&self) -> bool {
        let targets = u32::try_from(self.best.len()).unwrap_or(u32::MAX);
        let again = self.crashes.saturating_sub(targets);
        let points: u32 = self.best.values().sum::<u32>() + again * AGAIN_POINTS;
        let several = targets >= 2 || self.crashes >= SINGLE_TARGET_CRASHES;
        several && points >= QUARANTINE_POINTS
    }
}
