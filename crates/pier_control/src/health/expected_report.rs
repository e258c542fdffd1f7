//! Compares a member's report with its slot in the group.

use pier_types::{epochs, ids, reports, times};

use crate::{health, placements};

/// What a member is expected to report.
#[derive(Debug, Clone, Copy)]
pub(super) struct ExpectedReport<'a> {
    /// The group.
    pub id: &'a ids::GroupId,
    /// The model.
    pub model: &'a ids::ModelName,
    /// The generation.
    pub generation: epochs::GroupGeneration,
    /// The member's slot.
    pub slot: &'a placements::MemberSlot,
}

impl ExpectedReport<'_> {
    /// Checks that the member's report is recent, matches the slot and shows loaded weights.
    ///
    /// # Errors
    ///
    /// Fails with the first reason why the group may not serve with this member.
    pub fn check(
        &self,
        evidence: Option<&health::VmEvidence>,
        now: times::BootTime,
        settings: &health::HealthSettings,
    ) -> Result<(), health::StopReason> {
        let vm = || self.slot.vm.clone();
        let evidence = evidence.ok_or_else(|| health::StopReason::NoEvidence(vm()))?;
        if !evidence.is_fresh(now, settings.freshness) {
            return Err(health::StopReason::StaleEvidence(vm()));
        }
        let report = &evidence.report;
        if report.incarnation != self.slot.incarnation {
            return Err(health::StopReason::OtherIncarnation(vm()));
        }
        if report.group.as_ref() != Some(self.id) {
            return Err(health::StopReason::OtherGroup(vm()));
        }
        if report.generation != self.generation {
            let found = report.generation;
            return Err(health::StopReason::OtherGeneration { vm: vm(), found });
        }
        if report.model.as_ref() != Some(self.model) {
            return Err(health::StopReason::OtherModel(vm()));
        }
        if report.state < reports::EngineState::Cold {
            let state = report.state;
            return Err(health::StopReason::NotLoaded { vm: vm(), state });
        }
        Ok(())
    }

    /// Returns whether the member's engine has applied the current order.
    pub fn is_met_by(&self, report: &reports::EngineReport) -> bool {
        report.incarnation == self.slot.incarnation
            && report.group.as_ref() == Some(self.id)
            && report.generation == self.generation
    }

    /// Returns whether the member's engine has applied a newer order than the current one, or an
    /// order of another group with the same generation, which the current order cannot supersede.
    pub fn is_superseded_by(&self, report: &reports::EngineReport) -> bool {
        let is_same = report.incarnation == self.slot.incarnation;
        let is_other = report.group.as_ref().is_some_and(|group| group != self.id);
        is_same
            && (report.generation > self.generation
                || (is_other && report.generation == self.generation))
    }
}
