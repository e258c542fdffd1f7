//! Compares the planner with two baseline policies in simulated time, with the same events for
//! each.
//!
//! `cargo run --release -p pier_control --example placement_study [DAYS [SEEDS [SMALL_GROUPS]]]`

mod fleet_event;
mod placement_policy;
mod planner_cost;
mod sim_vm;
mod study_bound;
mod study_fleet;
mod study_models;
mod study_rates;
mod study_totals;

use std::{env, thread};

const DEFAULT_DAYS: u64 = 15;
const DEFAULT_SEEDS: u64 = 3;

fn main() {
    let numbers: Vec<u64> = env::args()
        .skip(1)
        .filter_map(|word| word.parse().ok())
        .collect();
    let days = numbers.first().copied().unwrap_or(DEFAULT_DAYS);
    let seeds = numbers.get(1).copied().unwrap_or(DEFAULT_SEEDS);
    let small_groups = numbers
        .get(2)
        .and_then(|number| u32::try_from(*number).ok());
    let small_groups = small_groups.unwrap_or(study_rates::SMALL_GROUPS);
    planner_cost::print_costs();
    println!(
        "study: {days} days of one data centre for each seed of 1 to {seeds}, {small_groups} small groups"
    );
    for seed in 1..=seeds {
        print_events(seed, days);
    }
    let policies = [
        placement_policy::PlacementPolicy::Repair,
        placement_policy::PlacementPolicy::Rebuild,
        placement_policy::PlacementPolicy::FirstFit,
    ];
    thread::scope(|scope| {
        let runs = policies.map(|policy| {
            (
                policy,
                scope.spawn(move || run_seeds(policy, days, seeds, small_groups)),
            )
        });
        for (policy, run) in runs {
            print_totals(policy, &run.join().unwrap(), small_groups);
        }
    });
}

fn run_seeds(
    policy: placement_policy::PlacementPolicy,
    days: u64,
    seeds: u64,
    small_groups: u32,
) -> study_totals::StudyTotals {
    let mut totals = study_totals::StudyTotals::default();
    for seed in 1..=seeds {
        let events = fleet_event::draw_events(seed, days);
        let mut fleet = study_fleet::StudyFleet::new(policy, small_groups);
        fleet.run(&events, days * study_rates::DAY_SECONDS);
        totals.merge(&fleet.totals);
    }
    totals
}

fn print_totals(
    policy: placement_policy::PlacementPolicy,
    totals: &study_totals::StudyTotals,
    small_groups: u32,
) {
    let days = totals.seconds as f64 / study_rates::DAY_SECONDS as f64;
    let groups = study_rates::LARGE_GROUPS + small_groups;
    let down = totals.down as f64 / days / f64::from(groups);
    let stranded = totals.stranded as f64 / totals.seconds as f64;
    let unavoidable = totals.unavoidable as f64 / days / f64::from(groups);
    let down_vms = totals.down_vms as f64 / totals.seconds as f64;
    let spare = totals.spare as f64 / totals.seconds as f64;
    let read = totals.bytes_read as f64 / days / 1e12;
    println!(
        "study: {policy:?}: group down {down:.1} s a day each ({unavoidable:.1} s unavoidable, {down_vms:.2} accelerators' worth), {stranded:.3} accelerators stranded, \
         {spare:.1} spare, {read:.2} TB read a day"
    );
}

fn print_events(seed: u64, days: u64) {
    let events = fleet_event::draw_events(seed, days);
    let count = |wanted: fn(&fleet_event::FleetEvent) -> bool| {
        events
            .values()
            .flatten()
            .filter(|event| wanted(event))
            .count()
    };
    println!(
        "study: seed {seed}: {} failures, {} replacements, {} outages",
        count(|event| matches!(event, fleet_event::FleetEvent::Failure(_))),
        count(|event| matches!(event, fleet_event::FleetEvent::Replacement(_))),
        count(|event| matches!(event, fleet_event::FleetEvent::Outage(_))),
    );
}
