//! Targets that want no request from this node for a while.

use std::{collections, sync, time};

use pier_types::{epochs, ids, times};

use crate::state;

/// Greatest part of a pause by which it is extended, so that nodes do not return in one instant.
const SPREAD: f64 = 0.1;

/// Most pauses that are kept; the one that ends first gives way to a further one.
const MAX_PAUSES: usize = 4_096;

/// Keeps pauses by VM incarnation, whatever group it serves.
#[derive(Debug, Default)]
pub(crate) struct PauseTable {
    ends: sync::Mutex<collections::BTreeMap<(ids::VmName, epochs::VmIncarnation), times::BootTime>>,
}

impl PauseTable {
    /// Records a pause, extended by the random part `draw` (0 to 1) of its spread; returns its end.
    pub(crate) fn record(
        &self,
        vm: &ids::VmName,
        born: epochs::VmIncarnation,
        pause: time::Duration,
        draw: f64,
        now: times::BootTime,
    ) -> times::BootTime {
        let end = now.after(pause.mul_f64(1.0 + SPREAD * draw));
        let mut ends = state::lock(&self.ends);
        ends.retain(|_target, end| now < *end);
        let known = ends.entry((vm.clone(), born)).or_insert(end);
        *known = end.max(*known);
        let end = *known;
        if ends.len() > MAX_PAUSES {
            let first = ends.iter().min_by_key(|(_target, end)| **end);
            if let Some(target) = first.map(|(target, _end)| target.clone()) {
                ends.remove(&target);
            }
        }
        end
    }

    /// Returns the end of the last pause of a VM incarnation; the boot time if it had none.
    pub(crate) fn end(&self, vm: &ids::VmName, born: epochs::VmIncarnation) -> times::BootTime {
        let ends = state::lock(&self.ends);
        ends.get(&(vm.clone(), born)).copied().unwrap_or_default()
    }
}
