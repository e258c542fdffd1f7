//! Derives VM conditions from probe results.

use std::collections;

use pier_types::{ids, times};

use crate::{health, planning};

/// Returns the condition of each VM from its last answered probe and the time since when it has
/// been slow.
///
/// A VM that never answered gets no condition.
pub fn vm_conditions(
    evidence: &collections::BTreeMap<ids::VmName, health::VmEvidence>,
    slow: &collections::BTreeMap<ids::VmName, times::BootTime>,
    now: times::BootTime,
    settings: &health::HealthSettings,
) -> collections::BTreeMap<ids::VmName, planning::VmCondition> {
    let classify = |(vm, evidence): (&ids::VmName, &health::VmEvidence)| {
        let incarnation = evidence.report.incarnation;
        let condition = if !evidence.is_fresh(now, settings.silent_after) {
            let since = evidence.probed_at;
            planning::VmCondition::Unreachable { since }
        } else if let Some(since) = slow.get(vm).copied() {
            planning::VmCondition::Straggling { incarnation, since }
        } else {
            planning::VmCondition::Healthy { incarnation }
        };
        (vm.clone(), condition)
    };
    evidence.iter().map(classify).collect()
}
