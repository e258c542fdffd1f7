//! The requests of one run, generated from a seed.

use pier_types::priorities;
use rand::{Rng, SeedableRng, rngs};

use crate::simulated_policy;

/// Length of a run.
pub const LENGTH_MS: u64 = 600_000;

const SHORTEST_SERVICE_MS: u64 = 500;
const LONGEST_SERVICE_MS: u64 = 1_500;

/// Length of the burst at the start of each minute, in which requests of high priority arrive at
/// `BURST_FACTOR` times their usual rate.
const BURST_MS: u64 = 10_000;
const MINUTE_MS: u64 = 60_000;
const BURST_FACTOR: u32 = 3;

/// Shares of the high and the normal priority in the arrivals outside bursts, in percent.
const HIGH_PERCENT: u32 = 20;
const NORMAL_PERCENT: u32 = 40;

/// One request.
#[derive(Debug, Clone, Copy)]
pub struct SimulatedArrival {
    /// Time of arrival.
    pub at_ms: u64,
    /// Time for which an admitted request occupies a slot.
    pub service_ms: u64,
    /// Its priority.
    pub priority: priorities::RequestPriority,
}

/// Generates the arrivals of a run whose offered load outside bursts is `load` percent of the
/// capacity.
pub fn generate(load: u32, seed: u64) -> Vec<SimulatedArrival> {
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let mean_service = u64::midpoint(SHORTEST_SERVICE_MS, LONGEST_SERVICE_MS);
    let rate_ms = f64::from(simulated_policy::CAPACITY * load) / 100.0 / mean_service as f64;
    let mut arrivals = Vec::new();
    for at_ms in 0..LENGTH_MS {
        let bursting = at_ms % MINUTE_MS < BURST_MS;
        let high = HIGH_PERCENT * if bursting { BURST_FACTOR } else { 1 };
        let parts = [
            (priorities::RequestPriority::High, high),
            (priorities::RequestPriority::Normal, NORMAL_PERCENT),
            (
                priorities::RequestPriority::Low,
                100 - HIGH_PERCENT - NORMAL_PERCENT,
            ),
        ];
        for (priority, percent) in parts {
            // At most one arrival of each priority in a millisecond.
            if rng.random_bool((rate_ms * f64::from(percent) / 100.0).min(1.0)) {
                arrivals.push(SimulatedArrival {
                    at_ms,
                    service_ms: rng.random_range(SHORTEST_SERVICE_MS..=LONGEST_SERVICE_MS),
                    priority,
                });
            }
        }
    }
    arrivals
}
