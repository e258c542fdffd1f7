//! What a node learned from the streams that it served.

use std::{collections, sync};

use pier_fleet::urgency;
use pier_types::{ids, times};

use crate::state;

/// Delays of first events and the demand by urgency, for each model.
#[derive(Debug, Default)]
pub(crate) struct StreamRecords {
    pub first_events: state::FirstEventDelays,
    demands: sync::Mutex<collections::BTreeMap<ids::ModelName, urgency::DemandRecord>>,
}

impl StreamRecords {
    /// Updates the record of a model's demand.
    pub(crate) fn record_demand(
        &self,
        model: &ids::ModelName,
        record: impl FnOnce(&mut urgency::DemandRecord),
    ) {
        let mut demands = state::lock(&self.demands);
        match demands.get_mut(model) {
            Some(demand) => record(demand),
            None => record(demands.entry(model.clone()).or_default()),
        }
    }

    /// Returns the recent demand for a model.
    pub(crate) fn demand(
        &self,
        model: &ids::ModelName,
        now: times::BootTime,
    ) -> urgency::DemandView {
        let mut demands = state::lock(&self.demands);
        let demand = demands.get_mut(model);
        demand.map_or_else(urgency::DemandView::default, |demand| demand.view(now))
    }
}
