//! Failed probes count while other VMs answer this node, and not while none does.

use std::time;

use pier_limits::probes;
use pier_types::{epochs, ids, reports, sizes, times};
use pier_wire::messages;

fn at(millis: u64) -> times::BootTime {
    times::BootTime::from_millis(millis)
}

fn failure(vm: &str) -> messages::ProbeResult {
    messages::ProbeResult {
        vm: vm.parse().unwrap(),
        age: time::Duration::ZERO,
        latency: time::Duration::ZERO,
        outcome: Err(messages::ProbeFailure::Refused),
    }
}

fn answer(vm: &str) -> messages::ProbeResult {
    let vm: ids::VmName = vm.parse().unwrap();
    let report = reports::EngineReport {
        vm: vm.clone(),
        incarnation: epochs::VmIncarnation::new(1),
        group: None,
        generation: epochs::GroupGeneration::default(),
        model: None,
        state: reports::EngineState::Warm,
        running: sizes::RequestCount::default(),
        queued: sizes::RequestCount::default(),
        is_leaving: false,
    };
    messages::ProbeResult {
        vm,
        age: time::Duration::ZERO,
        latency: time::Duration::ZERO,
        outcome: Ok(report),
    }
}

/// Guards against dead VMs that are held back although others answer.
#[test]
fn a_failure_counts_once_another_vm_answers_after_it() {
    let mut filter = probes::FailureFilter::default();
    assert_eq!(filter.pass(answer("vm-1"), at(10_000)).len(), 1);
    assert!(filter.pass(failure("vm-2"), at(10_300)).is_empty());
    let counting = filter.pass(answer("vm-1"), at(11_000));
    let failed: Vec<_> = counting
        .iter()
        .filter(|(result, _)| result.outcome.is_err())
        .collect();
    assert_eq!(failed, [&(failure("vm-2"), at(10_300))]);
}

/// Guards against a probe that times out late and is judged by what was known when it was sent.
#[test]
fn a_failure_that_arrives_late_counts_at_once() {
    let mut filter = probes::FailureFilter::default();
    filter.pass(answer("vm-1"), at(10_000));
    filter.pass(answer("vm-1"), at(11_000));
    assert_eq!(filter.pass(failure("vm-2"), at(10_300)).len(), 1);
}

/// Guards against sound VMs that are reported as failing by a node whose links are cut.
#[test]
fn failures_of_a_node_that_no_vm_answers_never_count() {
    let mut filter = probes::FailureFilter::default();
    for vm in ["vm-1", "vm-2"] {
        filter.pass(answer(vm), at(10_000));
    }
    for second in 0..5 {
        for (vm, millis) in [("vm-1", 10_400), ("vm-2", 10_600)] {
            assert!(
                filter
                    .pass(failure(vm), at(millis + 1_000 * second))
                    .is_empty()
            );
        }
    }
    for (vm, millis) in [("vm-1", 15_400), ("vm-2", 15_600), ("vm-1", 16_400)] {
        assert_eq!(filter.pass(answer(vm), at(millis)).len(), 1);
    }
}
