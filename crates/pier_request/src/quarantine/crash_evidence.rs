//! The score that decides whether crashes hold a request back.

use std::collections;

use pier_types::ids;

/// Fewest points at which a request is suspected.
const SUSPICION_THRESHOLD: u32 = 6;

/// Fewest crashes that cannot be a coincidence; an innocent request may well run on three targets
/// that are lost for other reasons.
pub(super) const QUARANTINE_CRASHES: usize = 4;

/// Points for a crash of a target on which no other request ran.
const SOLE_SUSPECT_POINTS: u32 = 4;

/// Points for a crash with 2 to [`FEW_SUSPECTS_MAX`] suspects.
const FEW_SUSPECTS_POINTS: u32 = 3;

/// Points for a crash with many suspects, more than [`FEW_SUSPECTS_MAX`].
const MANY_SUSPECTS_POINTS: u32 = 2;

/// Points for each further crash of the same target.
const REPEAT_CRASH_POINTS: u32 = 1;

/// Most suspects of a crash that count as few.
const FEW_SUSPECTS_MAX: u32 = 4;

/// Crashes of one target that suffice without a crash of a second one, since a pool may have only
/// one target.
const SINGLE_TARGET_MIN_CRASHES: u32 = 3;

/// What the crashes of a request show.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CrashVerdict {
    /// Too little to hold the request back.
    Implicated,
    /// The request may have caused the crashes, or ran there by coincidence.
    Suspected,
    /// The request crashes its targets.
    Quarantined,
}

/// Points of one request, summed over the crashes that implicate it.
///
/// Each target counts once, with the most points of any of its crashes, plus
/// [`REPEAT_CRASH_POINTS`] for each further crash.
#[derive(Debug, Default)]
pub(super) struct CrashEvidence<'a> {
    best_points: collections::BTreeMap<&'a ids::TargetId, u32>,
    crashes: u32,
}

impl<'a> CrashEvidence<'a> {
    /// Adds a crash of a target on which `suspects` requests ran.
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

    /// Returns what the crashes show.
    pub(super) fn verdict(&self) -> CrashVerdict {
        let targets = u32::try_from(self.best_points.len()).unwrap_or(u32::MAX);
        let repeat_crashes = self.crashes.saturating_sub(targets);
        let points: u32 =
            self.best_points.values().sum::<u32>() + repeat_crashes * REPEAT_CRASH_POINTS;
        let enough_crashes = targets >= 2 || self.crashes >= SINGLE_TARGET_MIN_CRASHES;
        if !enough_crashes || points < SUSPICION_THRESHOLD {
            CrashVerdict::Implicated
        } else if usize::try_from(self.crashes).is_ok_and(|crashes| crashes < QUARANTINE_CRASHES) {
            CrashVerdict::Suspected
        } else {
            CrashVerdict::Quarantined
        }
    }
}
