//! The input of the load queue.

use std::collections;

use pier_types::{ids, times};

use crate::{health, placements, planning};

/// Everything that determines which groups may load.
#[derive(Debug, Clone, Copy)]
pub struct LoadInput<'a> {
    /// The current placement.
    pub placement: &'a placements::DataCentrePlacement,
    /// The configured models.
    pub wanted: &'a collections::BTreeMap<ids::ModelName, planning::WantedModel>,
    /// The last answered probe of each VM.
    pub evidence: &'a collections::BTreeMap<ids::VmName, health::VmEvidence>,
    /// The health of the groups.
    pub view: &'a health::HealthView,
    /// The current time.
    pub now: times::BootTime,
}

impl LoadInput<'_> {
    /// Returns which share of a model's wanted replicas is serving, in thousandths.
    pub fn served_permille(&self, model: &ids::ModelName) -> usize {
        let groups = self.view.serving.values();
        let serving = groups.filter(|group| group.model == *model).count();
        let wanted = self.wanted.get(model);
        let wanted = wanted.map_or(1, |wanted| wanted.replicas.max(1) as usize);
        serving * 1_000 / wanted
    }
}
