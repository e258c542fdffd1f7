//! Compares thresholds for low priority by virtual time, with the same arrivals for each.
//!
//! `cargo run --release -p pier_request --example admission_price`

mod arrival_draw;
mod study_policy;
mod study_totals;

use std::collections;

use pier_types::times;

const SEEDS: u64 = 10;

/// Offered work against the capacity, in hundredths.
const LOADS: [u32; 4] = [60, 80, 100, 130];

fn main() {
    println!(
        "load policy         high_refused_permille normal_refused_permille low_refused_permille used_permille"
    );
    for load in LOADS {
        for policy in study_policy::PolicyKind::ALL {
            let mut totals = study_totals::StudyTotals::default();
            for seed in 1..=SEEDS {
                run(policy, load, seed, &mut totals);
            }
            println!("{load:3}% {policy:<14} {totals}");
        }
    }
}

/// Goes through one draw of arrivals under one policy.
fn run(
    kind: study_policy::PolicyKind,
    load: u32,
    seed: u64,
    totals: &mut study_totals::StudyTotals,
) {
    let policy = study_policy::StudyPolicy::new(kind);
    let mut running = collections::BTreeMap::new();
    for (number, arrival) in arrival_draw::draw(load, seed).into_iter().enumerate() {
        let still_running = running.split_off(&(arrival.at_ms, 0));
        running = still_running;
        let now = times::BootTime::from_millis(arrival.at_ms);
        let ticket = policy.admit(arrival.priority, now);
        totals.note(&arrival, ticket.is_some());
        if let Some(ticket) = ticket {
            running.insert((arrival.at_ms + arrival.service_ms, number), ticket);
        }
    }
    totals.add_time(arrival_draw::LENGTH_MS);
}
