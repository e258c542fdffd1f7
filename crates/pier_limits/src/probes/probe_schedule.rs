//! When this node probes its VMs.

use std::{collections, time};

use pier_types::{ids, times};

use crate::hashing;

/// Time between two probes of a VM by its first prober.
pub const FIRST_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time between two probes of a VM by a backup prober.
pub const BACKUP_INTERVAL: time::Duration = time::Duration::from_secs(3);

/// Spreads this node's probes over time.
#[derive(Debug, Default)]
pub struct ProbeSchedule {
    assignments: collections::BTreeMap<ids::VmName, ScheduledProbe>,
}

#[derive(Debug, Clone, Copy)]
struct ScheduledProbe {
    rank: usize,
    due_at: times::BootTime,
    probed_at: Option<times::BootTime>,
}

impl ProbeSchedule {
    /// Replaces the VMs to probe; those that stay keep their due times.
    pub fn assign(
        &mut self,
        assignments: &collections::BTreeMap<ids::VmName, usize>,
        now: times::BootTime,
    ) {
        self.assignments
            .retain(|vm, _| assignments.contains_key(vm));
        for (vm, rank) in assignments {
            let first = ScheduledProbe {
                rank: *rank,
                due_at: now.after(phase(vm)),
                probed_at: None,
            };
            let scheduled = self.assignments.entry(vm.clone()).or_insert(first);
            scheduled.rank = *rank;
        }
    }

    /// Returns the VMs to probe now, and schedules their next probes.
    ///
    /// A backup prober probes the VMs in `expiring`, whose evidence expires soon, as often as a
    /// first prober would, and at once if its last probe is older than that interval.
    pub fn due(
        &mut self,
        expiring: &collections::BTreeSet<ids::VmName>,
        now: times::BootTime,
    ) -> Vec<ids::VmName> {
        let mut due = Vec::new();
        for (vm, scheduled) in &mut self.assignments {
            let uses_first_interval = scheduled.rank == 0 || expiring.contains(vm);
            if uses_first_interval {
                let last = scheduled.probed_at.unwrap_or(now);
                scheduled.due_at = scheduled.due_at.min(last.after(FIRST_INTERVAL));
            }
            if now < scheduled.due_at {
                continue;
            }
            let interval = if uses_first_interval {
                FIRST_INTERVAL
            } else {
                BACKUP_INTERVAL
            };
            scheduled.due_at = next_after(scheduled.due_at, interval, now);
            scheduled.probed_at = Some(now);
            due.push(vm.clone());
        }
        due
    }
}

/// Returns the next due time. It keeps the phase, but after a pause of this node it is never in
/// the past.
fn next_after(
    due_at: times::BootTime,
    interval: time::Duration,
    now: times::BootTime,
) -> times::BootTime {
    let next = due_at.after(interval);
    if next > now {
        next
    } else {
        now.after(interval)
    }
}

fn phase(vm: &ids::VmName) -> time::Duration {
    let interval = u64::try_from(FIRST_INTERVAL.as_micros()).unwrap_or(u64::MAX);
    let hash = hashing::score(b"phase", vm.as_str().as_bytes());
    time::Duration::from_micros(hash % interval)
}
