//! Tracks the condition of each VM over time.

use std::{collections, time};

use pier_types::{ids, times};

use crate::{health, planning};

/// After a longer time between two updates, this node is assumed to have been paused.
const MAX_UPDATE_GAP: time::Duration = time::Duration::from_secs(2);

/// If more than this share of all VMs, in thousandths, is silent, this node is assumed to be cut
/// off.
const ISOLATION_PERMILLE: usize = 500;

/// Derives the conditions for the planner from the probe results.
///
/// It keeps the last probe result of VMs that stopped answering, and the time at which it first
/// missed a VM that has never answered. Silence counts only while this node was running and could
/// reach most of the VMs: after a pause or isolation of this node, the silence of every VM is
/// counted from the start again.
#[derive(Debug, Clone)]
pub struct ConditionTracker {
    settings: health::HealthSettings,
    last: collections::BTreeMap<ids::VmName, health::VmEvidence>,
    missing_since: collections::BTreeMap<ids::VmName, times::BootTime>,
    slow: collections::BTreeMap<ids::VmName, times::BootTime>,
    observing_since: times::BootTime,
    updated_at: times::BootTime,
}

impl ConditionTracker {
    /// Creates a tracker that counts silence from now on.
    pub fn new(settings: health::HealthSettings, now: times::BootTime) -> Self {
        Self {
            settings,
            last: collections::BTreeMap::new(),
            missing_since: collections::BTreeMap::new(),
            slow: collections::BTreeMap::new(),
            observing_since: now,
            updated_at: now,
        }
    }

    /// Adds the latest probe results and the VMs that are slow now, and returns the condition of
    /// each VM in `named`, which are those in the VM list or the placement.
    pub fn update(
        &mut self,
        evidence: &collections::BTreeMap<ids::VmName, health::VmEvidence>,
        slow: &collections::BTreeSet<ids::VmName>,
        named: &collections::BTreeSet<ids::VmName>,
        now: times::BootTime,
    ) -> collections::BTreeMap<ids::VmName, planning::VmCondition> {
        self.store_evidence(evidence, named, now);
        self.update_slow(slow, now);
        if now.since(self.updated_at) > MAX_UPDATE_GAP || self.is_isolated(named, now) {
            self.observing_since = now;
        }
        self.updated_at = now;
        let conditions = health::vm_conditions(&self.last, &self.slow, now, &self.settings);
        let mut conditions: collections::BTreeMap<_, _> = conditions
            .into_iter()
            .map(|(vm, condition)| (vm, self.limit_silence(condition)))
            .collect();
        for (vm, since) in &self.missing_since {
            let since = (*since).max(self.observing_since);
            conditions.insert(vm.clone(), planning::VmCondition::Unreachable { since });
        }
        conditions
    }

    /// Stores the last probe result of each named VM, or the time since when it has none.
    fn store_evidence(
        &mut self,
        evidence: &collections::BTreeMap<ids::VmName, health::VmEvidence>,
        named: &collections::BTreeSet<ids::VmName>,
        now: times::BootTime,
    ) {
        for (vm, found) in evidence {
            self.last.insert(vm.clone(), found.clone());
        }
        let last = &mut self.last;
        last.retain(|vm, _found| named.contains(vm));
        self.missing_since
            .retain(|vm, _since| named.contains(vm) && !last.contains_key(vm));
        for vm in named.iter().filter(|vm| !last.contains_key(*vm)) {
            self.missing_since.entry(vm.clone()).or_insert(now);
        }
    }

    /// Stores since when each slow VM has been slow.
    fn update_slow(&mut self, slow: &collections::BTreeSet<ids::VmName>, now: times::BootTime) {
        self.slow.retain(|vm, _since| slow.contains(vm));
        for vm in slow {
            self.slow.entry(vm.clone()).or_insert(now);
        }
    }

    /// Returns whether so many VMs are silent that this node itself is probably cut off.
    fn is_isolated(
        &self,
        named: &collections::BTreeSet<ids::VmName>,
        now: times::BootTime,
    ) -> bool {
        let has_answered = |vm: &&ids::VmName| {
            let found = self.last.get(*vm);
            found.is_some_and(|found| found.is_fresh(now, self.settings.silent_after))
        };
        let silent = named.len() - named.iter().filter(has_answered).count();
        silent * 1_000 > named.len() * ISOLATION_PERMILLE
    }

    /// Limits the silence of a VM to the time in which this node could have heard from it.
    fn limit_silence(&self, condition: planning::VmCondition) -> planning::VmCondition {
        match condition {
            planning::VmCondition::Unreachable { since } => {
                let since = since.max(self.observing_since);
                planning::VmCondition::Unreachable { since }
            }
            answering => answering,
        }
    }
}
