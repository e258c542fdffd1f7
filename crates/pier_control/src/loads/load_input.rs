//! What the queue looks at.

use std::collections;

use pier_types::{ids, times};

use crate::{health, placements, planning};

/// The input of one run of the queue.
#[derive(Debug, Clone, Copy)]
pub struct LoadInput<'a> {
    /// The placement in force.
    pub placement: &'a placements::DataCentrePlacement,
    /// What the configuration asks for.
    pub wanted: &'a collections::BTreeMap<ids::ModelName, planning::WantedModel>,
    /// The newest evidence of each VM.
    pub evidence: &'a collections::BTreeMap<ids::VmName, health::VmEvidence>,
    /// The health of the groups.
    pub view: &'a health::HealthView,
    /// The present time.
    pub now: times::BootTime,
}

impl LoadInput<'_> {
    /// Returns how much of its replicas a model serves, in thousandths.
    pub fn served_permille(&self, model: &ids::ModelName) -> usize {
        let groups = self.view.serving.values();
        let serving = groups.filter(|group| group.model == *model).count();
        let wanted = self.wanted.get(model);
        let wanted = wanted.map_or(1, |wanted| wanted.replicas.max(1) as usize);
        serving * 1_000 / wanted
    }
}
