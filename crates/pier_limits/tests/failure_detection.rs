//! Checks how the evidence board judges VMs that die, pause, slow down or return, and domains
//! that fail.

use std::{collections, time};

use pier_limits::probes;
use pier_types::{epochs, ids, reports, sizes, times};
use pier_wire::messages;

const BOUND: time::Duration = time::Duration::from_secs(4);
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

/// Returns a board on which VMs 0 to 5 answered at the start.
fn board() -> probes::EvidenceBoard {
    let mut board = probes::EvidenceBoard::new(BOUND);
    for number in 0..6 {
        assert_eq!(board.observe(success(number, 1, 2), START), None);
    }
    board
}

fn standing(
    board: &probes::EvidenceBoard,
    number: u32,
    now: times::BootTime,
) -> probes::VmStanding {
    board.standings(now)[&vm(number)]
}

#[test]
fn missing_evidence_ends_at_the_bound() {
    let board = board();
    assert_eq!(board.evidence(at(4_000)).len(), 6);
    assert!(board.evidence(at(4_001)).is_empty());
    assert_eq!(standing(&board, 1, at(4_001)), probes::VmStanding::Missing);
    assert_eq!(standing(&board, 1, at(10_001)), probes::VmStanding::Dead);
}

#[test]
fn the_age_of_a_pulled_result_counts_from_the_pull() {
    let mut board = probes::EvidenceBoard::new(BOUND);
    let aged = messages::ProbeResult {
        age: time::Duration::from_secs(3),
        ..success(1, 1, 2)
    };
    board.observe(aged, START);
    assert_eq!(board.evidence(at(1_000)).len(), 1);
    assert!(board.evidence(at(1_001)).is_empty());
}

#[test]
fn an_older_result_never_replaces_a_fresher_one() {
    let mut board = board();
    board.observe(success(1, 1, 2), at(2_000));
    board.observe(success(1, 1, 2), at(1_000));
    assert_eq!(board.evidence(at(2_000))[&vm(1)].probed_at, at(2_000));
    board.observe(failure(1, messages::ProbeFailure::Refused), at(1_500));
    assert_eq!(standing(&board, 1, at(2_000)), probes::VmStanding::Healthy);
}

#[test]
fn a_refused_connection_stops_at_once_and_a_silence_at_the_second_time() {
    let mut board = board();
    board.observe(failure(1, messages::ProbeFailure::Refused), at(1_000));
    assert_eq!(standing(&board, 1, at(1_000)), probes::VmStanding::Dead);
    board.observe(failure(2, messages::ProbeFailure::Silent), at(1_000));
    assert_eq!(standing(&board, 2, at(1_000)), probes::VmStanding::Healthy);
    board.observe(failure(2, messages::ProbeFailure::Silent), at(2_000));
    assert_eq!(standing(&board, 2, at(2_000)), probes::VmStanding::Missing);
    assert!(!board.evidence(at(2_000)).contains_key(&vm(2)));
}

#[test]
fn others_are_told_the_latest_result_with_its_age() {
    let mut board = board();
    let told = board.latest(&vm(1), at(700)).unwrap();
    assert_eq!(told.age, time::Duration::from_millis(700));
    assert!(told.outcome.is_ok());
    board.observe(failure(1, messages::ProbeFailure::Silent), at(1_000));
    let told = board.latest(&vm(1), at(1_100)).unwrap();
    assert_eq!(told.age, time::Duration::from_millis(100));
    assert_eq!(told.outcome, Err(messages::ProbeFailure::Silent));
    assert_eq!(board.latest(&vm(9), at(1_100)), None);
}

#[test]
fn a_straggler_is_told_apart_from_the_dead() {
    let mut board = board();
    board.observe(success(3, 1, 900), at(1_000));
    assert_eq!(
        standing(&board, 3, at(1_000)),
        probes::VmStanding::Straggler
    );
    assert!(board.evidence(at(1_000)).contains_key(&vm(3)));
    assert_eq!(standing(&board, 2, at(1_000)), probes::VmStanding::Healthy);
}

#[test]
fn when_all_are_slow_none_is_a_straggler() {
    let mut board = board();
    for number in 0..6 {
        board.observe(success(number, 1, 900), at(1_000));
    }
    assert!(board.standings(at(1_000)).values().all(|one| one.serves()));
}

#[test]
fn a_restart_is_seen_as_a_new_incarnation_and_late_news_of_the_old_one_is_dropped() {
    let mut board = board();
    let change = board.observe(success(1, 2, 2), at(500));
    let returned = probes::BoardChange::Returned {
        vm: vm(1),
        earlier: epochs::VmIncarnation::new(1),
        present: epochs::VmIncarnation::new(2),
    };
    assert_eq!(change, Some(returned));
    assert_eq!(board.observe(success(1, 1, 2), at(600)), None);
    let known = &board.evidence(at(600))[&vm(1)];
    assert_eq!(known.report.incarnation, epochs::VmIncarnation::new(2));
}

#[test]
fn a_pause_and_return_of_the_same_incarnation_is_told() {
    let mut board = board();
    let change = board.observe(success(1, 1, 2), at(9_000));
    assert_eq!(change, Some(probes::BoardChange::Resumed { vm: vm(1) }));
}

#[test]
fn a_report_of_another_vm_is_no_evidence() {
    let mut board = probes::EvidenceBoard::new(BOUND);
    let swapped = messages::ProbeResult {
        vm: vm(2),
        ..success(1, 1, 2)
    };
    board.observe(swapped, START);
    assert!(board.evidence(START).is_empty());
}

#[test]
fn a_dark_domain_is_seen_at_its_first_failed_probes() {
    let mut board = board();
    let domains = collections::BTreeMap::from([
        ("d1".parse().unwrap(), vec![vm(0), vm(1), vm(2)]),
        ("d2".parse().unwrap(), vec![vm(3), vm(4), vm(5)]),
    ]);
    for number in 0..2 {
        board.observe(failure(number, messages::ProbeFailure::Silent), at(1_000));
    }
    assert!(board.dark_domains(&domains, at(1_000)).is_empty());
    board.observe(failure(2, messages::ProbeFailure::Silent), at(1_100));
    let dark = vec!["d1".parse::<ids::DomainName>().unwrap()];
    assert_eq!(board.dark_domains(&domains, at(1_100)), dark);
}

#[test]
fn a_node_that_reaches_no_vm_blames_itself() {
    let mut board = board();
    let domains = collections::BTreeMap::from([("d1".parse().unwrap(), vec![vm(0), vm(1)])]);
    for number in 0..6 {
        for millis in [1_000, 2_000] {
            board.observe(failure(number, messages::ProbeFailure::Silent), at(millis));
        }
    }
    assert!(board.is_blind(at(2_000)));
    assert!(board.dark_domains(&domains, at(2_000)).is_empty());
}
