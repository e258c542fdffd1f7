//! Proves what the evidence board says of VMs that die, pause, slow down, return or go dark.

use std::{collections, net, time};

use pier_limits::probes;
use pier_types::{epochs, ids, reports, sizes, times, vms};
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

/// A board on which VMs 0 to 5 answered at the start.
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

#[test]
fn each_vm_has_distinct_probers_and_duties_move_little() {
    let nodes = (0..45)
        .map(|number| format!("node-{number}").parse().unwrap())
        .collect::<collections::BTreeSet<ids::NodeName>>();
    let listed = (0..450).map(vm).collect::<collections::BTreeSet<_>>();
    let plan = probes::ProbePlan::build(&nodes, &listed);
    let mut fewer = nodes.clone();
    let gone = fewer.pop_first().unwrap();
    let after = probes::ProbePlan::build(&fewer, &listed);
    let mut moved = 0;
    for name in &listed {
        let before = plan.probers(name);
        let distinct = before.iter().collect::<collections::BTreeSet<_>>();
        assert_eq!(distinct.len(), probes::PROBERS);
        let kept = before.iter().filter(|node| **node != gone);
        assert!(
            kept.clone()
                .eq(after.probers(name).iter().take(kept.count()))
        );
        moved += usize::from(before.contains(&gone));
    }
    assert_eq!(moved, plan.duties(&gone).len());
    let most = nodes
        .iter()
        .map(|node| plan.duties(node).len())
        .max()
        .unwrap();
    assert!(most < 60, "30 on average, {most} at most");
}

#[test]
fn first_probers_probe_each_second_and_backups_hurry_when_evidence_is_old() {
    let mut schedule = probes::ProbeSchedule::default();
    let duties = collections::BTreeMap::from([(vm(1), 0), (vm(2), 1)]);
    schedule.assign(&duties, START);
    let none = collections::BTreeSet::new();
    let count = |schedule: &mut probes::ProbeSchedule, from: u64, to: u64, old| {
        let due = (from..to).flat_map(|tick| schedule.due(old, at(tick * 100)));
        let names = due.collect::<Vec<_>>();
        let of = |number| names.iter().filter(|name| **name == vm(number)).count();
        (of(1), of(2))
    };
    assert_eq!(count(&mut schedule, 0, 300, &none), (30, 10));
    let old = collections::BTreeSet::from([vm(2)]);
    let (first, backup) = count(&mut schedule, 300, 600, &old);
    assert_eq!(first, 30);
    assert!(backup >= 29, "{backup}");
}

#[test]
fn a_reply_counts_only_for_a_pull_that_was_sent_to_that_prober() {
    let nodes = ["n1", "n2", "n3"].map(|name| name.parse::<ids::NodeName>().unwrap());
    let peers = nodes.iter().cloned().collect::<collections::BTreeSet<_>>();
    let listed = (0..9).map(vm).collect::<collections::BTreeSet<_>>();
    let plan = probes::ProbePlan::build(&peers, &listed);
    let mut pulls = probes::PullPlan::default();
    let sent = pulls.round(&nodes[0], &plan, &peers, &[], START);
    assert_eq!(sent.len(), 2, "no pull of itself");
    let (peer, pull) = &sent[0];
    assert_eq!(pulls.asked_at(peer, pull.pull), Some(START));
    assert_eq!(pulls.asked_at(&sent[1].0, pull.pull), None);
    assert_eq!(pulls.asked_at(peer, 999), None);
    for millis in 1..20 {
        pulls.round(&nodes[0], &plan, &peers, &[], at(millis));
    }
    assert_eq!(
        pulls.asked_at(peer, pull.pull),
        None,
        "old pulls are forgotten"
    );
    let old = vec![vm(1)];
    let sent = pulls.round(&nodes[0], &plan, &peers, &old, at(50));
    let named = |pull: &messages::ProbePull| matches!(pull.scope, messages::PullScope::Named(_));
    let backups = sent
        .iter()
        .filter(|(_, pull)| named(pull))
        .map(|(peer, _)| peer);
    for peer in backups {
        assert!(plan.probers(&vm(1))[1..].contains(peer));
    }
}

fn entry(number: u32, incarnation: u64, port: u16, state: vms::VmState) -> vms::VmEntry {
    vms::VmEntry {
        name: vm(number),
        incarnation: epochs::VmIncarnation::new(incarnation),
        address: net::SocketAddr::from(([127, 0, 0, 1], port)),
        data_centre: "a".parse().unwrap(),
        domain: "d1".parse().unwrap(),
        pool: vms::VmPool::Accelerator,
        state,
    }
}

#[test]
fn a_list_that_names_a_vm_twice_is_settled_or_the_vm_left_out() {
    let live = vms::VmState::Live;
    let roster = probes::VmRoster::from_list(vec![
        entry(1, 2, 80, live),
        entry(1, 1, 81, vms::VmState::Leaving),
        entry(2, 1, 80, live),
        entry(2, 1, 80, vms::VmState::Leaving),
        entry(3, 1, 80, live),
        entry(3, 1, 81, live),
        entry(4, 1, 80, live),
        entry(4, 1, 81, live),
        entry(4, 2, 82, live),
    ]);
    assert_eq!(roster.entries[&vm(1)], entry(1, 2, 80, live));
    assert_eq!(roster.entries[&vm(2)].state, vms::VmState::Leaving);
    assert!(!roster.entries.contains_key(&vm(3)));
    assert_eq!(roster.entries[&vm(4)].address.port(), 82);
    assert_eq!(roster.conflicts.len(), 1);
    assert_eq!(roster.conflicts[0].vm, vm(3));
}
