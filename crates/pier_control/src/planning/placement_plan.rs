//! One run of the planner.

use crate::{placements, planning};

/// The next placement, and why it differs from the present one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementPlan {
    /// The placement to write, if it differs from the present one.
    pub placement: placements::DataCentrePlacement,
    /// Whether there is anything to write.
    pub is_changed: bool,
    /// What was changed, and what could not be.
    pub reasons: Vec<planning::PlanReason>,
}

impl PlacementPlan {
    /// Plans the next placement.
    ///
    /// # Errors
    ///
    /// Fails when the result would break a rule of placements, which would be a fault of the
    /// planner; the placement in force then stays.
    pub fn make(
        input: &planning::PlanInput<'_>,
        settings: &planning::PlannerSettings,
    ) -> Result<Self, placements::PlacementError> {
        let mut draft = planning::PlanDraft::new(input, settings);
        planning::repair_step::repair_groups(&mut draft);
        planning::breakup_step::break_up_groups(&mut draft);
        planning::rollout_step::roll_out(&mut draft);
        planning::replica_step::remove_surplus(&mut draft);
        planning::replica_step::form_missing(&mut draft);
        planning::prepare_step::prepare_successors(&mut draft);
        Self::finish(draft)
    }

    /// Checks the draft and compares it with the present placement.
    fn finish(draft: planning::PlanDraft<'_>) -> Result<Self, placements::PlacementError> {
        let input = draft.input;
        let mut reasons = draft.reasons;
        if input.present.lease_term() != input.term {
            reasons.insert(0, planning::PlanReason::TermTaken(input.term));
        }
        let is_changed =
            input.present.lease_term() != input.term || draft.groups != *input.present.groups();
        let placement = placements::DataCentrePlacement::new(
            input.present.data_centre().clone(),
            input.term,
            draft.counters,
            draft.groups,
        )?;
        Ok(Self {
            placement,
            is_changed,
            reasons,
        })
    }
}
