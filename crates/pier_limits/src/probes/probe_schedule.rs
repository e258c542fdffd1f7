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
    duties: collections::BTreeMap<ids::VmName, ProbeDuty>,
}

#[derive(Debug, Clone, Copy)]
struct ProbeDuty {
    rank: usize,
    due_at: times::BootTime,
    probed_at: Option<times::BootTime>,
}

impl ProbeSchedule {
    /// Replaces the VMs to probe; those that stay keep their due times.
    pub fn assign(
        &mut self,
        duties: &collections::BTreeMap<ids::VmName, usize>,
        now: times::BootTime,
    ) {
        self.duties.retain(|vm, _| duties.contains_key(vm));
        for (vm, rank) in duties {
            let first = ProbeDuty {
                rank: *rank,
                due_at: now.after(phase(vm)),
                probed_at: None,
            };
            let duty = self.duties.entry(vm.clone()).or_insert(first);
            duty.rank = *rank;
        }
    }

    /// Returns the VMs to probe now, and schedules their next probes.
    ///
    /// A backup prober probes the VMs in `old`, whose evidence expires soon, as often as a first
    /// prober would, and at once if its last probe is older than that interval.
    pub fn due(
        &mut self,
        old: &collections::BTreeSet<ids::VmName>,
        now: times::BootTime,
    ) -> Vec<ids::VmName> {
        let mut due = Vec::new();
        for (vm, duty) in &mut self.duties {
            let hurried = duty.rank == 0 || old.contains(vm);
            if hurried {
                let last = duty.probed_at.unwrap_or(now);
                duty.due_at = duty.due_at.min(last.after(FIRST_INTERVAL));
            }
            if now < duty.due_at {
                continue;
            }
            let interval = if hurried {
                FIRST_INTERVAL
            } else {
                BACKUP_INTERVAL
            };
            duty.due_at = next_after(duty.due_at, interval, now);
            duty.probed_at = Some(now);
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
