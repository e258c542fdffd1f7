//! Checks which node probes which VM and when, which replies count, and what replies leave out.

use std::{collections, time};

use pier_limits::probes;
use pier_types::{epochs, ids, reports, sizes, times};
use pier_wire::messages;

const START: times::BootTime = times::BootTime::from_millis(100_000);

fn vm(number: u32) -> ids::VmName {
    format!("vm-{number}").parse().unwrap()
}

fn at(millis: u64) -> times::BootTime {
    START.after(time::Duration::from_millis(millis))
}

#[test]
fn each_vm_has_distinct_probers_and_few_assignments_move() {
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
        assert_eq!(distinct.len(), probes::PROBERS_PER_VM);
        let kept = before.iter().filter(|node| **node != gone);
        assert!(
            kept.clone()
                .eq(after.probers(name).iter().take(kept.count()))
        );
        moved += usize::from(before.contains(&gone));
    }
    assert_eq!(moved, plan.assignments(&gone).len());
    let most = nodes
        .iter()
        .map(|node| plan.assignments(node).len())
        .max()
        .unwrap();
    assert!(most < 60, "30 on average, {most} at most");
}

#[test]
fn first_probers_probe_each_second_and_backups_too_when_evidence_expires() {
    let mut schedule = probes::ProbeSchedule::default();
    let assignments = collections::BTreeMap::from([(vm(1), 0), (vm(2), 1)]);
    schedule.assign(&assignments, START);
    let none = collections::BTreeSet::new();
    let count = |schedule: &mut probes::ProbeSchedule, from: u64, to: u64, expiring| {
        let due = (from..to).flat_map(|tick| schedule.due(expiring, at(tick * 100)));
        let names = due.collect::<Vec<_>>();
        let of = |number| names.iter().filter(|name| **name == vm(number)).count();
        (of(1), of(2))
    };
    assert_eq!(count(&mut schedule, 0, 300, &none), (30, 10));
    let expiring = collections::BTreeSet::from([vm(2)]);
    let (first, backup) = count(&mut schedule, 300, 600, &expiring);
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
    assert_eq!(sent.len(), 2, "a node sends no pull to itself");
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
        "early pulls are forgotten"
    );
    let expiring = vec![vm(1)];
    let sent = pulls.round(&nodes[0], &plan, &peers, &expiring, at(50));
    let named = |pull: &messages::ProbePull| matches!(pull.scope, messages::PullScope::Named(_));
    let backups = sent
        .iter()
        .filter(|(_, pull)| named(pull))
        .map(|(peer, _)| peer);
    for peer in backups {
        assert!(plan.probers(&vm(1))[1..].contains(peer));
    }
}

/// Returns three nodes; the first one pulls from the others.
fn nodes() -> ([ids::NodeName; 3], collections::BTreeSet<ids::NodeName>) {
    let nodes = ["n1", "n2", "n3"].map(|name| name.parse::<ids::NodeName>().unwrap());
    let peers = nodes.iter().cloned().collect();
    (nodes, peers)
}

fn batch(pull: u64, state: reports::EngineState, running: u32) -> messages::ProbeBatch {
    let report = reports::EngineReport {
        vm: vm(1),
        incarnation: epochs::VmIncarnation::new(1),
        group: None,
        generation: epochs::GroupGeneration::new(1),
        model: None,
        state,
        running: sizes::RequestCount::new(running),
        queued: sizes::RequestCount::new(0),
        is_leaving: false,
    };
    let result = messages::ProbeResult {
        vm: vm(1),
        age: time::Duration::from_millis(u64::from(running)),
        latency: time::Duration::from_millis(2),
        outcome: Ok(report),
    };
    messages::ProbeBatch::pack(pull, &[result])
}

/// Makes a round of pulls by the first node; returns the pulls to each other node. A node that is
/// a backup prober of a VM in `expiring` gets two.
fn pull(
    pulls: &mut probes::PullPlan,
    expiring: &[ids::VmName],
) -> collections::BTreeMap<ids::NodeName, Vec<messages::ProbePull>> {
    let (nodes, peers) = nodes();
    let listed = (0..9).map(vm).collect();
    let plan = probes::ProbePlan::build(&peers, &listed);
    let mut sent = collections::BTreeMap::<_, Vec<_>>::new();
    for (peer, pull) in pulls.round(&nodes[0], &plan, &peers, expiring, START) {
        sent.entry(peer).or_default().push(pull);
    }
    sent
}

#[test]
fn a_prober_repeats_only_what_changes_with_each_probe() {
    let ([_, prober, _], _) = nodes();
    let mut pulls = probes::PullPlan::default();
    let first = pull(&mut pulls, &[])[&prober][0].clone();
    assert_eq!(first.known, None);
    let whole = batch(first.pull, reports::EngineState::Cold, 3);
    pulls.remember(&prober, &whole);
    let second = pull(&mut pulls, &[])[&prober][0].clone();
    let later = batch(second.pull, reports::EngineState::Cold, 9);
    let messages::PeerMessage::LoadBatch(loads) = later.clone().reply(second.known) else {
        panic!("the reply repeated what is known");
    };
    assert_eq!(pulls.complete(&prober, &loads), Some(later));
    let warm = batch(second.pull, reports::EngineState::Warm, 9);
    let reply = warm.clone().reply(second.known);
    assert_eq!(reply, messages::PeerMessage::ProbeBatch(warm));
}

#[test]
fn loads_complete_no_other_batch_and_no_other_prober() {
    let ([_, prober, other], _) = nodes();
    let mut pulls = probes::PullPlan::default();
    let sent = pull(&mut pulls, &[]);
    let number = sent[&prober][0].pull;
    let cold = batch(number, reports::EngineState::Cold, 3);
    assert_eq!(pulls.complete(&prober, &cold.loads()), None);
    pulls.remember(&prober, &batch(number, reports::EngineState::Warm, 3));
    assert_eq!(pulls.complete(&prober, &cold.loads()), None);
    pulls.remember(&prober, &cold);
    assert_eq!(pulls.complete(&prober, &cold.loads()), Some(cold.clone()));
    assert_eq!(pulls.complete(&other, &cold.loads()), None);
}

#[test]
fn the_reply_of_a_backup_is_not_remembered() {
    let mut pulls = probes::PullPlan::default();
    let sent = pull(&mut pulls, &[vm(1), vm(2), vm(3), vm(4)]);
    let named = sent.iter().find(|(_, pulls)| pulls.len() > 1);
    let (prober, both) = named.expect("a backup among the two others");
    assert_eq!(both[1].known, None);
    pulls.remember(prober, &batch(both[1].pull, reports::EngineState::Warm, 1));
    let next = pull(&mut pulls, &[]);
    assert_eq!(next[prober][0].known, None);
}
