//! A request with its marks, and the verdict on it.

use std::{cmp, collections, time};

use pier_types::{epochs, ids, times};

use crate::{marks, quarantine};

/// How long a suspected request is held back after each crash.
const SUSPICION_PAUSE: time::Duration = time::Duration::from_secs(1);

/// Identifies a crash.
pub(super) type CrashKey<'a> = (&'a ids::TargetId, epochs::GroupGeneration);

/// How many requests ran on a crashed target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SuspectCount(pub u32);

impl marks::MarkDetail for SuspectCount {
    fn merge(&mut self, other: Self) -> bool {
        let is_changed = other > *self;
        *self = other.max(*self);
        is_changed
    }
}

/// A request with the marks that count against it.
#[derive(Debug)]
pub(super) struct MarkedRequest<'a> {
    pub fingerprint: ids::RequestFingerprint,
    pub marks: Vec<(CrashKey<'a>, &'a marks::Mark<SuspectCount>)>,
}

impl MarkedRequest<'_> {
    /// Returns the verdict and until when the request is held back; `None` if it is not.
    ///
    /// Crashes of an already `quarantined` request with more marks do not count. `implicated` is
    /// the number of marked requests of each crash.
    pub(super) fn judge(
        &self,
        quarantined: &[&Self],
        implicated: &collections::BTreeMap<CrashKey<'_>, u32>,
    ) -> Option<(quarantine::CrashVerdict, times::BootTime)> {
        let mut evidence = quarantine::CrashEvidence::default();
        let mut crash_times = Vec::new();
        for (crash, state) in &self.marks {
            let is_explained = quarantined
                .iter()
                .any(|other| other.marks.len() > self.marks.len() && other.ran_in(crash));
            if is_explained {
                continue;
            }
            let marked_together = implicated.get(crash).copied().unwrap_or(0);
            evidence.add(crash.0, state.detail.0.max(marked_together));
            crash_times.push(state.seen_at);
        }
        crash_times.sort_unstable_by_key(|at| cmp::Reverse(*at));
        let verdict = evidence.verdict();
        let until = match verdict {
            quarantine::CrashVerdict::Implicated => return None,
            quarantine::CrashVerdict::Suspected => crash_times[0].after(SUSPICION_PAUSE),
            quarantine::CrashVerdict::Quarantined => {
                // Too few crashes are left once this one expires.
                crash_times[quarantine::QUARANTINE_CRASHES - 1].after(marks::MARK_LIFETIME)
            }
        };
        Some((verdict, until))
    }

    fn ran_in(&self, crash: &CrashKey<'_>) -> bool {
        self.marks.iter().any(|(marked, _state)| marked == crash)
    }
}
