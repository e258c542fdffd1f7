//! Checks how the evidence table judges VMs that die, pause, slow down or return, and domains
//! that fail.

use std::{collections, time};

use pier_limits::probes;
use pier_types::{epochs, ids, reports, sizes, times};
use pier_wire::messages;

const MAX_AGE: time::Duration = time::Duration::from_secs(4);
const START: times::BootTime = times::BootTime::from_millis(100_000);

fn vm(number: u32) -> ids::VmName {
    format!("vm-{number}").parse().unwrap()
}

fn at(millis: u64) -> times::BootTime {
    START.after(time::Duration::from_millis(millis))
}

fn success(number: u32, incarnation: u64, latency: u64) -> messages::ProbeResult {
    let report = reports::EngineReport {
        vm: vm(number),
        incarnation: epochs::VmIncarnation::new(incarnation),
        group: None,
        generation: epochs::GroupGeneration::new(1),
        model: None,
        state: reports::EngineState::Warm,
        running: sizes::RequestCount::new(1),
        queued: sizes::RequestCount::new(0),
        is_leaving: false,
    };
    messages::ProbeResult {
        vm: vm(number),
        age: time::Duration::ZERO,
        latency: time::Duration::from_millis(latency),
        outcome: Ok(report),
    }
}

fn failure(number: u32, failure: messages::ProbeFailure) -> messages::ProbeResult {
    messages::ProbeResult {
        outcome: Err(failure),
        ..success(number, 1, 0)
    }
}

/// Returns a table on which VMs 0 to 5 answered at the start.
fn table() -> probes::EvidenceTable {
    let mut table = probes::EvidenceTable::new(MAX_AGE);
    for number in 0..6 {
        assert_eq!(table.observe(success(number, 1, 2), START), None);
    }
    table
}

fn health(table: &probes::EvidenceTable, number: u32, now: times::BootTime) -> probes::VmHealth {
    table.health_by_vm(now)[&vm(number)]
}

#[test]
fn evidence_expires_at_its_maximum_age() {
    let table = table();
    assert_eq!(table.evidence(at(4_000)).len(), 6);
    assert!(table.evidence(at(4_001)).is_empty());
    assert_eq!(health(&table, 1, at(4_001)), probes::VmHealth::Missing);
    assert_eq!(health(&table, 1, at(10_001)), probes::VmHealth::Dead);
}

#[test]
fn the_age_of_a_pulled_result_counts_from_the_pull() {
    let mut table = probes::EvidenceTable::new(MAX_AGE);
    let aged = messages::ProbeResult {
        age: time::Duration::from_secs(3),
        ..success(1, 1, 2)
    };
    table.observe(aged, START);
    assert_eq!(table.evidence(at(1_000)).len(), 1);
    assert!(table.evidence(at(1_001)).is_empty());
}

#[test]
fn an_older_result_never_replaces_a_fresher_one() {
    let mut table = table();
    table.observe(success(1, 1, 2), at(2_000));
    table.observe(success(1, 1, 2), at(1_000));
    assert_eq!(table.evidence(at(2_000))[&vm(1)].probed_at, at(2_000));
    table.observe(failure(1, messages::ProbeFailure::Refused), at(1_500));
    assert_eq!(health(&table, 1, at(2_000)), probes::VmHealth::Healthy);
}

#[test]
fn a_refused_connection_counts_at_once_and_a_lost_answer_at_the_second_time() {
    let mut table = table();
    table.observe(failure(1, messages::ProbeFailure::Refused), at(1_000));
    assert_eq!(health(&table, 1, at(1_000)), probes::VmHealth::Dead);
    table.observe(failure(2, messages::ProbeFailure::Silent), at(1_000));
    assert_eq!(health(&table, 2, at(1_000)), probes::VmHealth::Healthy);
    table.observe(failure(2, messages::ProbeFailure::Silent), at(2_000));
    assert_eq!(health(&table, 2, at(2_000)), probes::VmHealth::Missing);
    assert!(!table.evidence(at(2_000)).contains_key(&vm(2)));
}

#[test]
fn others_are_told_the_latest_result_with_its_age() {
    let mut table = table();
    let sent = table.latest(&vm(1), at(700)).unwrap();
    assert_eq!(sent.age, time::Duration::from_millis(700));
    assert!(sent.outcome.is_ok());
    table.observe(failure(1, messages::ProbeFailure::Silent), at(1_000));
    let sent = table.latest(&vm(1), at(1_100)).unwrap();
    assert_eq!(sent.age, time::Duration::from_millis(100));
    assert_eq!(sent.outcome, Err(messages::ProbeFailure::Silent));
    assert_eq!(table.latest(&vm(9), at(1_100)), None);
}

#[test]
fn a_slow_vm_is_a_straggler_and_not_dead() {
    let mut table = table();
    table.observe(success(3, 1, 900), at(1_000));
    assert_eq!(health(&table, 3, at(1_000)), probes::VmHealth::Straggler);
    assert!(table.evidence(at(1_000)).contains_key(&vm(3)));
    assert_eq!(health(&table, 2, at(1_000)), probes::VmHealth::Healthy);
}

#[test]
fn when_all_are_slow_none_is_a_straggler() {
    let mut table = table();
    for number in 0..6 {
        table.observe(success(number, 1, 900), at(1_000));
    }
    assert!(
        table
            .health_by_vm(at(1_000))
            .values()
            .all(|one| one.serves())
    );
}

#[test]
fn a_restart_is_a_new_incarnation_and_late_results_of_the_old_one_are_dropped() {
    let mut table = table();
    let change = table.observe(success(1, 2, 2), at(500));
    let restarted = probes::EvidenceChange::Restarted {
        vm: vm(1),
        earlier: epochs::VmIncarnation::new(1),
        present: epochs::VmIncarnation::new(2),
    };
    assert_eq!(change, Some(restarted));
    assert_eq!(table.observe(success(1, 1, 2), at(600)), None);
    let known = &table.evidence(at(600))[&vm(1)];
    assert_eq!(known.report.incarnation, epochs::VmIncarnation::new(2));
}

#[test]
fn a_return_of_the_same_incarnation_after_a_pause_is_reported() {
    let mut table = table();
    let change = table.observe(success(1, 1, 2), at(9_000));
    assert_eq!(change, Some(probes::EvidenceChange::Resumed { vm: vm(1) }));
}

#[test]
fn a_report_of_another_vm_is_no_evidence() {
    let mut table = probes::EvidenceTable::new(MAX_AGE);
    let swapped = messages::ProbeResult {
        vm: vm(2),
        ..success(1, 1, 2)
    };
    table.observe(swapped, START);
    assert!(table.evidence(START).is_empty());
}

#[test]
fn a_dark_domain_is_detected_at_its_first_failed_probes() {
    let mut table = table();
    let domains = collections::BTreeMap::from([
        ("d1".parse().unwrap(), vec![vm(0), vm(1), vm(2)]),
        ("d2".parse().unwrap(), vec![vm(3), vm(4), vm(5)]),
    ]);
    for number in 0..2 {
        table.observe(failure(number, messages::ProbeFailure::Silent), at(1_000));
    }
    assert!(table.dark_domains(&domains, at(1_000)).is_empty());
    table.observe(failure(2, messages::ProbeFailure::Silent), at(1_100));
    let dark = vec!["d1".parse::<ids::DomainName>().unwrap()];
    assert_eq!(table.dark_domains(&domains, at(1_100)), dark);
}

#[test]
fn a_node_that_reaches_no_vm_reports_no_dark_domain() {
    let mut table = table();
    let domains = collections::BTreeMap::from([("d1".parse().unwrap(), vec![vm(0), vm(1)])]);
    for number in 0..6 {
        for millis in [1_000, 2_000] {
            table.observe(failure(number, messages::ProbeFailure::Silent), at(millis));
        }
    }
    assert!(table.is_blind(at(2_000)));
    assert!(table.dark_domains(&domains, at(2_000)).is_empty());
}
