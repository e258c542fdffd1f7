//! A node's evidence on whether it reaches one service.

use std::{collections, time};

use pier_types::{ids, times};

/// How long a failed contact counts.
const FAILURE_LIFETIME: time::Duration = time::Duration::from_secs(2);

/// Failed contacts with this many targets, or with all of them if there are fewer, show that a
/// service is not reached.
const MIN_FAILED_TARGETS: usize = 3;

/// The contacts with the targets of one service since the last one that succeeded.
#[derive(Debug, Clone, Default)]
pub(super) struct ServiceReach {
    /// Targets that were not reached, with the time of the last failure.
    failed: collections::BTreeMap<ids::VmName, times::BootTime>,
    cut_off_since: Option<times::BootTime>,
    /// When contact was last restored.
    restored_at: Option<times::BootTime>,
}

impl ServiceReach {
    pub(super) const fn cut_off_since(&self) -> Option<times::BootTime> {
        self.cut_off_since
    }

    /// Returns whether contact was restored less than [`FAILURE_LIFETIME`] ago.
    pub(super) fn is_restored_recently(&self, now: times::BootTime) -> bool {
        self.restored_at
            .is_some_and(|at| now.since(at) < FAILURE_LIFETIME)
    }

    /// Records a contact that succeeded; returns whether the service was cut off before.
    pub(super) fn record_success(&mut self, now: times::BootTime) -> bool {
        self.failed.clear();
        let was_cut_off = self.cut_off_since.take().is_some();
        if was_cut_off {
            self.restored_at = Some(now);
        }
        was_cut_off
    }

    /// Records a contact that failed; `targets` is the number of targets that the service has, and
    /// `is_suspected` says that one failure is enough. Returns whether the service is cut off from
    /// now on.
    pub(super) fn record_failure(
        &mut self,
        vm: &ids::VmName,
        targets: usize,
        is_suspected: bool,
        now: times::BootTime,
    ) -> bool {
        self.failed.insert(vm.clone(), now);
        self.failed
            .retain(|_vm, at| now.since(*at) < FAILURE_LIFETIME);
        let enough = if is_suspected {
            1
        } else {
            targets.clamp(1, MIN_FAILED_TARGETS)
        };
        let is_new = self.cut_off_since.is_none() && self.failed.len() >= enough;
        if is_new {
            self.cut_off_since = Some(now);
        }
        is_new
    }
}
