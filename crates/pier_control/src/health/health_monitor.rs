//! The health of the groups of a data centre.

use std::{collections, time};

use pier_types::{ids, reports, routes, times};

use crate::{health, placements};

/// Evaluates the health of groups from the probe results of their members.
///
/// It remembers which members have applied the current generation. If one of them later reports
/// another order, its engine ignores fencing numbers and has applied a delayed order.
#[derive(Debug, Clone)]
pub struct HealthMonitor {
    settings: health::HealthSettings,
    confirmed: collections::BTreeMap<u64, health::ConfirmedGroup>,
}

/// The last answered probe of each VM.
type EvidenceMap = collections::BTreeMap<ids::VmName, health::VmEvidence>;

impl HealthMonitor {
    /// Creates an instance that has no probe results yet.
    pub fn new(settings: health::HealthSettings) -> Self {
        Self {
            settings,
            confirmed: collections::BTreeMap::new(),
        }
    }

    /// Sets the maximum age of a member's probe result.
    pub fn set_freshness(&mut self, freshness: time::Duration) {
        self.settings.freshness = freshness;
    }

    /// Evaluates every group of a placement.
    pub fn observe(
        &mut self,
        placement: &placements::DataCentrePlacement,
        evidence: &EvidenceMap,
        now: times::BootTime,
    ) -> health::HealthView {
        let groups = placement.groups();
        self.confirmed
            .retain(|number, _group| groups.contains_key(number));
        let mut view = health::HealthView::default();
        for (number, group) in groups {
            let id = placement.group_id(*number);
            match self.evaluate(&id, group, evidence, now) {
                Ok(serving) => drop(view.serving.insert(*number, serving)),
                Err(reason) => drop(view.stopped.insert(*number, reason)),
            }
            if self.is_mismatched(&id, group, evidence, now) {
                view.mismatched.insert(*number);
            }
            if self.is_successor_ready(&id, group, evidence, now) {
                view.ready.insert(*number);
            }
        }
        view
    }

    /// Returns a group's state if it may serve, or the first reason why it may not.
    fn evaluate(
        &self,
        id: &ids::GroupId,
        group: &placements::GroupPlacement,
        evidence: &EvidenceMap,
        now: times::BootTime,
    ) -> Result<health::ServingGroup, health::StopReason> {
        let mut state = reports::EngineState::Warm;
        let mut oldest = now;
        for slot in &group.members {
            let found = evidence.get(&slot.vm);
            expected_report(id, group, slot).check(found, now, &self.settings)?;
            let found = found.ok_or_else(|| health::StopReason::NoEvidence(slot.vm.clone()))?;
            state = state.min(found.report.state);
            oldest = oldest.min(found.probed_at);
        }
        // `DataCentrePlacement::new` rejects groups without members.
        let first = &group.members[0];
        Ok(health::ServingGroup {
            id: id.clone(),
            model: group.model.clone(),
            generation: group.generation,
            address: first.address,
            state,
            load: evidence.get(&first.vm).map(target_load).unwrap_or_default(),
            fresh_until: oldest.after(self.settings.freshness),
        })
    }

    /// Returns whether a member applied an order other than the current one, and records the
    /// members that applied the current one. A member that has not received its order yet is no
    /// mismatch.
    fn is_mismatched(
        &mut self,
        id: &ids::GroupId,
        group: &placements::GroupPlacement,
        evidence: &EvidenceMap,
        now: times::BootTime,
    ) -> bool {
        let confirmed = self.confirmed.entry(id.number).or_default();
        if confirmed.generation != group.generation {
            *confirmed = health::ConfirmedGroup {
                generation: group.generation,
                members: collections::BTreeSet::new(),
            };
        }
        let mut is_mismatched = false;
        for slot in &group.members {
            let found = evidence.get(&slot.vm);
            let Some(found) = found.filter(|found| found.is_fresh(now, self.settings.freshness))
            else {
                continue;
            };
            let expected = expected_report(id, group, slot);
            let is_same = found.report.incarnation == slot.incarnation;
            if expected.is_met_by(&found.report) {
                confirmed.members.insert(slot.vm.clone());
            } else if is_same && confirmed.members.contains(&slot.vm) {
                is_mismatched = true;
            }
            is_mismatched |= expected.is_superseded_by(&found.report);
        }
        is_mismatched
    }

    /// Returns whether the new members of a group's successor have loaded the weights.
    fn is_successor_ready(
        &self,
        id: &ids::GroupId,
        group: &placements::GroupPlacement,
        evidence: &EvidenceMap,
        now: times::BootTime,
    ) -> bool {
        let Some(next) = &group.successor else {
            return false;
        };
        group.new_members().into_iter().all(|(_rank, slot)| {
            let expected = health::ExpectedReport {
                generation: next.generation,
                ..expected_report(id, group, slot)
            };
            expected
                .check(evidence.get(&slot.vm), now, &self.settings)
                .is_ok()
        })
    }
}

/// Returns what a member of a group is expected to report.
fn expected_report<'a>(
    id: &'a ids::GroupId,
    group: &'a placements::GroupPlacement,
    slot: &'a placements::MemberSlot,
) -> health::ExpectedReport<'a> {
    health::ExpectedReport {
        id,
        model: &group.model,
        generation: group.generation,
        slot,
    }
}

/// Returns the load that the last report states.
fn target_load(evidence: &health::VmEvidence) -> routes::TargetLoad {
    routes::TargetLoad {
        running: evidence.report.running,
        queued: evidence.report.queued,
        probed_at: evidence.probed_at,
    }
}
