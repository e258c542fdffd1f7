//! What first events take beyond the published times.

use std::{collections, sync, time};

use pier_types::ids;

use crate::state;

/// Weight of the newest reading in the mean, as a divisor.
const MEAN_WEIGHT: u32 = 24;

/// Greatest reading that counts; a longer wait has another cause.
const READING_LIMIT: time::Duration = time::Duration::from_millis(400);

/// Learns, for each model, how much later first events come than the engine's times predict.
#[derive(Debug, Default)]
pub(crate) struct FirstEventDelays {
    means: sync::Mutex<collections::BTreeMap<ids::ModelName, time::Duration>>,
}

impl FirstEventDelays {
    /// Returns the mean of late, zero before the first reading.
    pub(crate) fn mean_delay(&self, model: &ids::ModelName) -> time::Duration {
        let means = state::lock(&self.means);
        means.get(model).copied().unwrap_or_default()
    }

    /// Takes in a first event: the time that was predicted without what is learned, and the one that it took.
    pub(crate) fn record(
        &self,
        model: &ids::ModelName,
        predicted: time::Duration,
        taken: time::Duration,
    ) {
        let reading = taken.saturating_sub(predicted).min(READING_LIMIT);
        let mut means = state::lock(&self.means);
        match means.get_mut(model) {
            Some(mean) => *mean = (*mean * (MEAN_WEIGHT - 1) + reading) / MEAN_WEIGHT,
            None => {
                means.insert(model.clone(), reading);
            }
        }
    }
}
