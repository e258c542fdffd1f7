//! How much later first events come than predicted.

use std::{collections, sync, time};

use pier_types::ids;

use crate::state;

/// Divisor that gives the weight of the newest reading in the mean.
const MEAN_WEIGHT: u32 = 24;

/// Upper bound of one reading; a longer wait has another cause.
const MAX_READING: time::Duration = time::Duration::from_millis(400);

/// Keeps, for each model, the mean time by which first events come later than the engine's
/// published times predict.
#[derive(Debug, Default)]
pub(crate) struct FirstEventDelays {
    means: sync::Mutex<collections::BTreeMap<ids::ModelName, time::Duration>>,
}

impl FirstEventDelays {
    /// Returns the recent mean, zero before the first reading.
    pub(crate) fn mean_delay(&self, model: &ids::ModelName) -> time::Duration {
        let means = state::lock(&self.means);
        means.get(model).copied().unwrap_or_default()
    }

    /// Records a first event: the time that was predicted without the mean delay, and the actual
    /// time.
    pub(crate) fn record(
        &self,
        model: &ids::ModelName,
        predicted: time::Duration,
        taken: time::Duration,
    ) {
        let reading = taken.saturating_sub(predicted).min(MAX_READING);
        let mut means = state::lock(&self.means);
        match means.get_mut(model) {
            Some(mean) => *mean = (*mean * (MEAN_WEIGHT - 1) + reading) / MEAN_WEIGHT,
            None => {
                means.insert(model.clone(), reading);
            }
        }
    }
}
