//! Plans the next placement.

use crate::{placements, planning};

/// The next placement, and why it differs from the current one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementPlan {
    /// The next placement; only written if `is_changed` is set.
    pub placement: placements::DataCentrePlacement,
    /// Whether the placement differs from the current one.
    pub is_changed: bool,
    /// What was changed, and what could not be changed.
    pub reasons: Vec<planning::PlanReason>,
}

impl PlacementPlan {
    /// Plans the next placement.
    ///
    /// # Errors
    ///
    /// Fails when the result would be an invalid placement, which is a bug in the planner. The
    /// caller then keeps the current placement.
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

    /// Validates the draft and compares it with the current placement.
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
