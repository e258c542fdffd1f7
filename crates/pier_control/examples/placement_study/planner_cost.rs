//! Measures the run time of the planner and of the health evaluation, and the size of the
//! placement, for growing numbers of VMs.

use std::{collections, hint, time};

use pier_control::{health, placements, planning};
use pier_types::{epochs, ids, reports, sizes, times, vms};

use crate::{sim_vm, study_models};

/// Number of VMs in each domain.
const DOMAIN_SIZE: u64 = 64;
/// Number of timed runs, of which the median is reported.
const RUNS: usize = 101;

/// Prints the cost for each number of VMs.
pub fn print_costs() {
    println!(
        "planner: VMs, median of {RUNS} runs (nothing to do), median (one VM lost), bytes of the placement"
    );
    for size in [100, 200, 450, 900] {
        let cost = measure(size);
        println!(
            "planner: {size:4} {:>9.1?} {:>9.1?} {:>9.1?} {:7}",
            cost.idle, cost.repair, cost.evaluation, cost.bytes
        );
    }
}

/// The median run times and the placement's size in bytes, for one number of VMs.
struct PlannerCost {
    idle: time::Duration,
    repair: time::Duration,
    evaluation: time::Duration,
    bytes: usize,
}

fn measure(size: u32) -> PlannerCost {
    let vms: Vec<_> = (0..u64::from(size))
        .map(|vm| sim_vm::SimVm::new(vm, usize::try_from(vm / DOMAIN_SIZE).unwrap()))
        .collect();
    let entries: Vec<_> = vms.iter().map(|vm| vm.entry.clone()).collect();
    let healthy = planning::VmCondition::Healthy {
        incarnation: epochs::VmIncarnation::new(1),
    };
    let mut conditions: collections::BTreeMap<_, _> = entries
        .iter()
        .map(|entry| (entry.name.clone(), healthy))
        .collect();
    let wanted: collections::BTreeMap<_, _> = [("large", size / 48, 32), ("small", size / 32, 4)]
        .into_iter()
        .map(study_models::wanted_model)
        .collect();
    let empty = placements::DataCentrePlacement::empty("dc".parse().unwrap());
    let present = plan(&wanted, &entries, &conditions, &empty).placement;
    let idle = median(|| {
        drop(hint::black_box(plan(
            &wanted,
            &entries,
            &conditions,
            &present,
        )));
    });
    let lost = present.groups()[&0].members[0].vm.clone();
    conditions.insert(
        lost,
        planning::VmCondition::Unreachable {
            since: times::BootTime::default(),
        },
    );
    let repair = median(|| {
        drop(hint::black_box(plan(
            &wanted,
            &entries,
            &conditions,
            &present,
        )));
    });
    PlannerCost {
        idle,
        repair,
        evaluation: evaluation_cost(&present),
        bytes: present.encode().len(),
    }
}

/// Measures one health evaluation of all groups while every member is healthy.
fn evaluation_cost(present: &placements::DataCentrePlacement) -> time::Duration {
    let now = times::BootTime::from_millis(1_000_000);
    let mut evidence = collections::BTreeMap::new();
    for (number, group) in present.groups() {
        for slot in &group.members {
            let report = reports::EngineReport {
                vm: slot.vm.clone(),
                incarnation: slot.incarnation,
                group: Some(present.group_id(*number)),
                generation: group.generation,
                model: Some(group.model.clone()),
                state: reports::EngineState::Warm,
                running: sizes::RequestCount::default(),
                queued: sizes::RequestCount::default(),
                is_leaving: false,
            };
            evidence.insert(
                slot.vm.clone(),
                health::VmEvidence {
                    report,
                    probed_at: now,
                },
            );
        }
    }
    let mut health = health::HealthMonitor::new(health::HealthSettings::default());
    assert_eq!(
        health.observe(present, &evidence, now).serving.len(),
        present.groups().len()
    );
    median(|| drop(hint::black_box(health.observe(present, &evidence, now))))
}

fn plan(
    wanted: &collections::BTreeMap<ids::ModelName, planning::WantedModel>,
    entries: &[vms::VmEntry],
    conditions: &collections::BTreeMap<ids::VmName, planning::VmCondition>,
    present: &placements::DataCentrePlacement,
) -> planning::PlacementPlan {
    let serving = present
        .groups()
        .keys()
        .map(|group| (*group, sizes::RequestCount::default()))
        .collect();
    let input = planning::PlanInput {
        wanted,
        vms: entries,
        conditions,
        serving: &serving,
        mismatched: &collections::BTreeSet::new(),
        ready: &collections::BTreeSet::new(),
        seen_generation: epochs::GroupGeneration::default(),
        present,
        term: epochs::LeaseTerm::new(1),
        now: times::BootTime::from_millis(1_000_000),
    };
    planning::PlacementPlan::make(&input, &planning::PlannerSettings::default()).unwrap()
}

fn median(mut run: impl FnMut()) -> time::Duration {
    let mut samples: Vec<_> = (0..RUNS)
        .map(|_run| {
            let start = time::Instant::now();
            run();
            start.elapsed()
        })
        .collect();
    samples.sort_unstable();
    samples[RUNS / 2]
}
