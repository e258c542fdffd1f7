//! Follows the data centre out of service and back.

use pier_config::documents;
use pier_limits::shifts;
use pier_types::{ids, reports, times};

use crate::handle;

/// The shift of this node's data centre; none until a configuration is known.
#[derive(Debug)]
pub(super) struct ShiftDriver {
    policy: shifts::ShiftPolicy,
    shift: Option<shifts::DataCentreShift>,
}

impl ShiftDriver {
    /// Follows the data centre with the given times.
    pub(super) const fn new(policy: shifts::ShiftPolicy) -> Self {
        Self {
            policy,
            shift: None,
        }
    }

    /// Returns how much new work the data centre gets now.
    pub(super) fn update(
        &mut self,
        document: &documents::ConfigDocument,
        data_centre: &ids::DataCentreName,
        groups: &handle::GroupSnapshot,
        now: times::BootTime,
    ) -> handle::ShiftSnapshot {
        let in_service = document.is_in_service(data_centre);
        let policy = self.policy;
        let fresh = || shifts::DataCentreShift::new(in_service, policy);
        let shift = self.shift.get_or_insert_with(fresh);
        shift.set_service(in_service, now);
        handle::ShiftSnapshot {
            weight: shift.weight(warm_part(document, data_centre, groups), now),
            in_service,
        }
    }
}

/// Returns which part of the wanted groups is warm; everything where no group is wanted.
fn warm_part(
    document: &documents::ConfigDocument,
    data_centre: &ids::DataCentreName,
    groups: &handle::GroupSnapshot,
) -> shifts::ShiftWeight {
    let section = document.data_centres.get(data_centre);
    let replicas = section
        .into_iter()
        .flat_map(|section| section.replicas.values());
    let wanted = replicas.map(|count| u64::from(count.get())).sum();
    let serving = groups.health.serving.values();
    let warm = serving.filter(|group| group.state == reports::EngineState::Warm);
    shifts::ShiftWeight::of_parts(warm.count() as u64, wanted)
}
