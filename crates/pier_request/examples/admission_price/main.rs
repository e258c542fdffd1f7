//! Simulates admission policies for low priorities in virtual time, each with the same arrivals.
//!
//! `cargo run --release -p pier_request --example admission_price`

mod simulated_arrival;
mod simulated_policy;
mod simulated_totals;

use std::collections;

use pier_types::times;

const SEEDS: u64 = 10;

/// Offered load, in percent of the capacity.
const LOADS: [u32; 4] = [60, 80, 100, 130];

fn main() {
    println!(
        "load policy         high_refused_permille normal_refused_permille low_refused_permille used_permille"
    );
    for load in LOADS {
        for policy in simulated_policy::PolicyKind::ALL {
            let mut totals = simulated_totals::SimulatedTotals::default();
            for seed in 1..=SEEDS {
                run(policy, load, seed, &mut totals);
            }
            println!("{load:3}% {policy:<14} {totals}");
        }
    }
}

/// Simulates the arrivals of one seed under one policy.
fn run(
    kind: simulated_policy::PolicyKind,
    load: u32,
    seed: u64,
    totals: &mut simulated_totals::SimulatedTotals,
) {
    let policy = simulated_policy::SimulatedPolicy::new(kind);
    let mut running = collections::BTreeMap::new();
    for (number, arrival) in simulated_arrival::generate(load, seed)
        .into_iter()
        .enumerate()
    {
        let still_running = running.split_off(&(arrival.at_ms, 0));
        running = still_running;
        let now = times::BootTime::from_millis(arrival.at_ms);
        let permit = policy.admit(arrival.priority, now);
        totals.note(&arrival, permit.is_some());
        if let Some(permit) = permit {
            running.insert((arrival.at_ms + arrival.service_ms, number), permit);
        }
    }
    totals.add_time(simulated_arrival::LENGTH_MS);
}
