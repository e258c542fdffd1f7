//! Shifts traffic when the data centre leaves service and returns to it.

use pier_config::documents;
use pier_limits::shifts;
use pier_types::{ids, reports, sizes, times};

use crate::handle;

/// Tracks the traffic shift of this node's data centre.
#[derive(Debug)]
pub struct ShiftDriver {
    policy: shifts::ShiftPolicy,
    shift: Option<shifts::DataCentreShift>,
}

impl ShiftDriver {
    /// Creates a driver with the timing of a policy.
    pub const fn new(policy: shifts::ShiftPolicy) -> Self {
        Self {
            policy,
            shift: None,
        }
    }

    /// Returns the part of new requests that the data centre currently gets.
    pub fn update(
        &mut self,
        document: &documents::ConfigDocument,
        data_centre: &ids::DataCentreName,
        groups: &handle::GroupSnapshot,
        now: times::BootTime,
    ) -> handle::ShiftSnapshot {
        let in_service = document.is_in_service(data_centre);
        let policy = self.policy;
        let create = || shifts::DataCentreShift::new(in_service, policy);
        let shift = self.shift.get_or_insert_with(create);
        shift.set_service(in_service, now);
        handle::ShiftSnapshot {
            weight: shift.weight(available_part(document, data_centre, groups), now),
            in_service,
        }
    }
}

/// Returns the part of the configured capacity that the serving groups currently provide.
fn available_part(
    document: &documents::ConfigDocument,
    data_centre: &ids::DataCentreName,
    groups: &handle::GroupSnapshot,
) -> shifts::ShiftWeight {
    let mut capacity = shifts::CentreCapacity::default();
    let section = document.data_centres.get(data_centre);
    let replicas = section.into_iter().flat_map(|section| &section.replicas);
    for (model, count) in replicas {
        if let Some(model) = document.models.get(model) {
            capacity.add_wanted(model.warm_limit, count.get().into());
        }
    }
    for group in groups.health.serving.values() {
        if let Some(model) = document.models.get(&group.model) {
            capacity.add_serving(group_capacity(model, group.state));
        }
    }
    capacity.available_part()
}

/// Returns the capacity of a group in an engine state.
fn group_capacity(
    model: &documents::ModelSection,
    state: reports::EngineState,
) -> sizes::RequestCount {
    match state {
        reports::EngineState::Warm => model.warm_limit,
        reports::EngineState::Cold => model.cold_limit.min(model.warm_limit),
        reports::EngineState::Empty | reports::EngineState::Loading => {
            sizes::RequestCount::default()
        }
    }
}
