//! The results of a policy over all seeds.

use std::fmt;

use pier_types::priorities;

use crate::{simulated_arrival, simulated_policy};

/// Sums over the runs of one policy.
#[derive(Debug, Clone, Copy, Default)]
pub struct SimulatedTotals {
    arrivals: [u64; 3],
    refused: [u64; 3],
    used_ms: u64,
    length_ms: u64,
}

impl SimulatedTotals {
    /// Counts one arrival and its result.
    pub fn note(&mut self, arrival: &simulated_arrival::SimulatedArrival, is_admitted: bool) {
        let index = match arrival.priority {
            priorities::RequestPriority::Low => 0,
            priorities::RequestPriority::Normal => 1,
            priorities::RequestPriority::High => 2,
        };
        self.arrivals[index] += 1;
        if is_admitted {
            self.used_ms += arrival.service_ms;
        } else {
            self.refused[index] += 1;
        }
    }

    /// Adds the length of one run.
    pub fn add_time(&mut self, length_ms: u64) {
        self.length_ms += length_ms;
    }

    fn refused_permille(&self, index: usize) -> f64 {
        self.refused[index] as f64 * 1_000.0 / self.arrivals[index].max(1) as f64
    }
}

impl fmt::Display for SimulatedTotals {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let slots = f64::from(simulated_policy::CAPACITY) * self.length_ms as f64;
        write!(
            f,
            "{:21.1} {:23.1} {:20.1} {:13.0}",
            self.refused_permille(2),
            self.refused_permille(1),
            self.refused_permille(0),
            self.used_ms as f64 * 1_000.0 / slots,
        )
    }
}
