//! Checks that a backup prober keeps evidence within its maximum age when the first prober's
//! results arrive too late for that.

use std::{collections, time};

use pier_limits::probes;
use pier_types::{epochs, ids, reports, sizes, times};
use pier_wire::messages;

/// Time between two ticks of a node, in milliseconds.
const TICK: u64 = 100;

/// The time that evidence takes to reach the table that requests read: one tick for publishing,
/// two of the control loop and one of the table.
const LAG: time::Duration = time::Duration::from_millis(4 * TICK);

fn at(millis: u64) -> times::BootTime {
    times::BootTime::from_millis(100_000 + millis)
}

fn result(vm: &ids::VmName, age: time::Duration) -> messages::ProbeResult {
    messages::ProbeResult {
        vm: vm.clone(),
        age,
        latency: time::Duration::from_millis(2),
        outcome: Ok(reports::EngineReport {
            vm: vm.clone(),
            incarnation: epochs::VmIncarnation::new(1),
            group: None,
            generation: epochs::GroupGeneration::new(0),
            model: None,
            state: reports::EngineState::Warm,
            running: sizes::RequestCount::new(0),
            queued: sizes::RequestCount::new(0),
            is_leaving: false,
        }),
    }
}

/// Returns the maximum age of a VM's evidence at a backup prober that pulls the first prober's
/// results once a second. Phases are in ticks.
fn greatest_age(
    max_age: time::Duration,
    vm: &ids::VmName,
    probe_phase: u64,
    pull_phase: u64,
) -> time::Duration {
    let listed = collections::BTreeSet::from([vm.clone()]);
    let mut table = probes::EvidenceTable::new(max_age);
    let mut schedule = probes::ProbeSchedule::default();
    schedule.assign(&[(vm.clone(), 1)].into(), at(0));
    let mut first_probed = at(0);
    let mut newest = at(0);
    let mut greatest = time::Duration::ZERO;
    for tick in 0..300 {
        let now = at(tick * TICK);
        // Measured before this tick can bring newer evidence. The first 100 ticks are the
        // start-up.
        if tick >= 100 {
            greatest = greatest.max(now.since(newest));
        }
        if tick % 10 == probe_phase {
            first_probed = now;
        }
        if tick % 10 == pull_phase {
            table.observe(result(vm, now.since(first_probed)), now);
            newest = newest.max(first_probed);
        }
        let expiring = table.expiring(&listed, now).into_iter().collect();
        if !schedule.due(&expiring, now).is_empty() {
            table.observe(result(vm, time::Duration::ZERO), now);
            newest = now;
        }
    }
    greatest
}

#[test]
fn evidence_of_a_vm_that_another_node_probes_stays_within_its_maximum_age_at_any_phase() {
    for max_age in [1_500, 2_000, 2_500, 4_000].map(time::Duration::from_millis) {
        for number in 0..20 {
            let vm = format!("vm-{number}").parse().unwrap();
            for (probe, pull) in (0..100).map(|phases| (phases / 10, phases % 10)) {
                let age = greatest_age(max_age, &vm, probe, pull);
                assert!(
                    age + LAG <= max_age,
                    "{vm}, probed at {probe}, pulled at {pull}: {age:?} of {max_age:?}"
                );
            }
        }
    }
}
