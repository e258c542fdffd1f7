//! Targets that stated in an answer that they leave.

use std::{collections, sync, time};

use arc_swap::ArcSwap;
use pier_types::{epochs, ids, times};

/// How long a notice is kept: longer than a target goes on after it.
const NOTICE_LIFETIME: time::Duration = time::Duration::from_mins(15);

/// Identifies a target: a group or VM, and its generation or incarnation.
pub type TargetKey = (ids::TargetId, epochs::GroupGeneration);

/// Keeps notices of leaving by target; one that started again is another target.
#[derive(Debug, Default)]
pub(super) struct LeavingTargets {
    noted: ArcSwap<collections::BTreeMap<TargetKey, times::BootTime>>,
}

impl LeavingTargets {
    /// Records that a target stated that it leaves; returns whether that is new.
    pub(super) fn record(&self, target: &TargetKey, now: times::BootTime) -> bool {
        if self.noted.load().contains_key(target) {
            return false;
        }
        let former = self.noted.rcu(|noted| {
            let mut kept = collections::BTreeMap::clone(noted);
            kept.retain(|_target, noted_at| now.since(*noted_at) < NOTICE_LIFETIME);
            kept.entry(target.clone()).or_insert(now);
            kept
        });
        !former.contains_key(target)
    }

    /// Returns the targets that are to get no further request.
    pub(super) fn targets(&self) -> sync::Arc<collections::BTreeMap<TargetKey, times::BootTime>> {
        self.noted.load_full()
    }
}
