//! Random failures, replacements and outages in a data centre.

use std::collections;

use rand::{Rng, SeedableRng, rngs};

use crate::study_rates;

/// An event, with a random number that selects the VM or domain. The number is generated in advance
/// so that every policy gets the same events.
#[derive(Debug, Clone, Copy)]
pub enum FleetEvent {
    /// A VM fails for good.
    Failure(u64),
    /// The platform announces that it will replace a VM.
    Replacement(u64),
    /// All VMs of a domain fail, and restart later with empty engines.
    Outage(u64),
}

/// Generates the events of some days from a seed, by the second at which they happen.
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
