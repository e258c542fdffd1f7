//! What happens to the VMs of a data centre.

use std::collections;

use rand::{Rng, SeedableRng, rngs};

use crate::study_rates;

/// One event; VMs are chosen by a number drawn beforehand, so that each policy meets the same.
#[derive(Debug, Clone, Copy)]
pub enum FleetEvent {
    /// A VM stops answering for good.
    Failure(u64),
    /// The platform says that it will replace a VM.
    Replacement(u64),
    /// All VMs of a domain stop answering, and come back later with empty engines.
    Outage(u64),
}

/// Draws the events of some days, by the second at which they happen.
pub fn draw_events(seed: u64, days: u64) -> collections::BTreeMap<u64, Vec<FleetEvent>> {
    let mut random = rngs::StdRng::seed_from_u64(seed);
    let mut events: collections::BTreeMap<u64, Vec<FleetEvent>> = collections::BTreeMap::new();
    for second in 0..days * study_rates::DAY_SECONDS {
        let mut happens =
            |each_day: f64| random.random_bool(each_day / study_rates::DAY_SECONDS as f64);
        let drawn = [
            happens(study_rates::FAILURES_A_DAY),
            happens(study_rates::REPLACEMENTS_A_DAY),
            happens(study_rates::OUTAGES_A_DAY),
        ];
        let makers = [
            FleetEvent::Failure,
            FleetEvent::Replacement,
            FleetEvent::Outage,
        ];
        for (maker, _drawn) in makers
            .into_iter()
            .zip(drawn)
            .filter(|(_maker, drawn)| *drawn)
        {
            events
                .entry(second)
                .or_default()
                .push(maker(random.random()));
        }
    }
    events
}
