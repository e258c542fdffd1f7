//! The VM list, whose changes become visible after a lag.

use std::{collections, time};

use pier_types::{times, vms};

/// A VM list that shows each change only after a lag.
#[derive(Debug, Clone, Default)]
pub struct VmList {
    /// Delay before readers see a change.
    pub lag: time::Duration,
    changes: collections::VecDeque<(times::BootTime, Vec<vms::VmEntry>)>,
    visible: Vec<vms::VmEntry>,
}

impl VmList {
    /// Replaces the list; readers see the change after the lag.
    pub fn replace(&mut self, entries: Vec<vms::VmEntry>, now: times::BootTime) {
        self.changes.push_back((now, entries));
    }

    /// Returns the list that readers see at `now`.
    pub fn visible(&mut self, now: times::BootTime) -> &[vms::VmEntry] {
        while let Some((changed_at, _entries)) = self.changes.front() {
            if now.since(*changed_at) < self.lag {
                break;
            }
            if let Some((_changed_at, entries)) = self.changes.pop_front() {
                self.visible = entries;
            }
        }
        &self.visible
    }
}
