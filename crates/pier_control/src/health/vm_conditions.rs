//! The condition of each VM, for the planner.

use std::collections;

use pier_types::{ids, times};

use crate::{health, planning};

/// Judges each VM by its evidence, and by since when it has been slow.
///
/// A VM without evidence gets no condition: it is neither used anew nor replaced.
pub fn vm_conditions(
    evidence: &collections::BTreeMap<ids::VmName, health::VmEvidence>,
    slow: &collections::BTreeMap<ids::VmName, times::BootTime>,
    now: times::BootTime,
    settings: &health::HealthSettings,
) -> collections::BTreeMap<ids::VmName, planning::VmCondition> {
    let judge = |(vm, evidence): (&ids::VmName, &health::VmEvidence)| {
        let incarnation = evidence.report.incarnation;
        let condition = if !evidence.is_fresh(now, settings.silent_after) {
            let since = evidence.probed_at;
            planning::VmCondition::Unreachable { since }
        } else if let Some(since) = slow.get(vm).copied() {
            planning::VmCondition::Straggling { incarnation, since }
        } else {
            planning::VmCondition::Sound { incarnation }
        };
        (vm.clone(), condition)
    };
    evidence.iter().map(judge).collect()
}
