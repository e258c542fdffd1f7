//! Stall detection, rate limits of cold targets and weight loads, and steward elections.

use std::{collections, time};

use pier_fleet::{budgets, stalls, stewards};
use pier_types::{epochs, ids, times};

fn at(millis: u64) -> times::BootTime {
    times::BootTime::from_millis(millis)
}

fn progress(in_flight: u32, running: u32, pass_ms: u64) -> stalls::ProgressFacts {
    stalls::ProgressFacts {
        in_flight,
        running,
        last_progress: at(10_000),
        pass_time: time::Duration::from_millis(pass_ms),
        longest_pass: time::Duration::from_millis(pass_ms + 200),
        first_event: time::Duration::from_millis(150),
    }
}

#[test]
fn a_group_whose_streams_fall_silent_together_is_stuck_within_a_second() {
    let detector = stalls::StallDetector::default();
    let facts = progress(8, 6, 60);
    assert!(!detector.is_stuck(&facts, false, at(10_300)));
    assert!(detector.is_stuck(&facts, false, at(10_500)));
}

#[test]
fn a_slow_group_is_given_more_time_but_not_until_its_callers_leave() {
    let detector = stalls::StallDetector::default();
    let facts = progress(8, 6, 500);
    assert!(!detector.is_stuck(&facts, false, at(10_800)));
    assert!(detector.is_stuck(&facts, false, at(10_950)));
}

#[test]
fn a_group_that_may_be_prefilling_long_prompts_is_not_stuck() {
    let detector = stalls::StallDetector::default();
    // According to the engine's published times the longest pass takes 260 ms.
    assert!(!detector.is_stuck(&progress(8, 6, 60), false, at(10_260)));
    assert!(!detector.is_stuck(&progress(8, 6, 60), false, at(10_390)));
    assert!(detector.is_stuck(&progress(8, 6, 60), false, at(10_410)));
}

#[test]
fn confirmation_by_other_nodes_halves_the_limit_and_does_not_replace_it() {
    let detector = stalls::StallDetector::default();
    assert!(!detector.is_stuck(&progress(8, 6, 60), true, at(10_190)));
    assert!(detector.is_stuck(&progress(8, 6, 60), true, at(10_210)));
    assert!(!detector.is_stuck(&progress(0, 0, 60), true, at(90_000)));
}

#[test]
fn an_idle_group_is_never_stuck() {
    let detector = stalls::StallDetector::default();
    assert!(!detector.is_stuck(&progress(0, 0, 60), false, at(90_000)));
}

#[test]
fn a_request_that_has_not_begun_is_given_its_expected_time() {
    let detector = stalls::StallDetector::default();
    assert!(!detector.is_stuck(&progress(1, 0, 60), false, at(10_700)));
    assert!(detector.is_stuck(&progress(1, 0, 60), false, at(10_800)));
}

#[test]
fn shares_of_a_cold_target_add_up_to_no_more_than_its_rate() {
    let (per_second, nodes) = (36.0, 6_u32);
    let mut limiters = vec![budgets::ColdLimiter::default(); 6];
    let mut sent = Vec::new();
    for millis in 0..5_000_u64 {
        for limiter in &mut limiters {
            let part = per_second / f64::from(nodes);
            if limiter.allows(part, at(millis)) {
                limiter.take(part, at(millis));
                sent.push(millis);
            }
        }
    }
    for start in 0..4_000 {
        let window = sent
            .iter()
            .filter(|millis| (start..start + 1_000).contains(*millis));
        // The published rate, plus one saved-up request for each node.
        assert!(window.count() <= 36 + 6);
    }
}

/// Requests that a cold target of 17 a second may get in one second: half as many more, and five.
const MOST_IN_A_SECOND: usize = 30;

/// Nodes that share the rate of a cold target on a large site, each with its own draw.
fn many_limiters() -> Vec<budgets::ColdLimiter> {
    let draws = (0..79).map(|node| (f64::from(node) * 0.618_034).fract());
    draws.map(budgets::ColdLimiter::new).collect()
}

/// Returns the most requests in a second when each node sends as soon as it may.
fn busiest_second(limiters: &mut [budgets::ColdLimiter], per_second: f64, from: u64) -> usize {
    let share = per_second / 79.0;
    let mut sent = Vec::new();
    for millis in from..from + 8_000 {
        for limiter in &mut *limiters {
            if limiter.allows(share, at(millis)) {
                limiter.take(share, at(millis));
                sent.push(millis);
            }
        }
    }
    let seconds = (from..from + 7_000).map(|start| {
        let window = sent
            .iter()
            .filter(|millis| (start..start + 1_000).contains(*millis));
        window.count()
    });
    seconds.max().unwrap_or_default()
}

// Guards against many nodes that each kept a request for a cold target while its data centre was out
// of service, and send it in the same instant.
#[test]
fn nodes_that_could_not_use_a_cold_target_do_not_all_use_it_at_once() {
    let per_second = 17.0;
    let mut limiters = many_limiters();
    let before = busiest_second(&mut limiters, per_second, 0);
    // Eight seconds out of service.
    let after = busiest_second(&mut limiters, per_second, 16_000);
    assert!(before.max(after) <= MOST_IN_A_SECOND, "{before}, {after}");
}

// Guards against many nodes that see a cold target, choose others, and then all choose it at once.
#[test]
fn nodes_that_did_not_use_a_cold_target_do_not_all_use_it_at_once() {
    let per_second = 17.0;
    let mut limiters = many_limiters();
    for millis in (0..20_000).step_by(50) {
        for limiter in &mut limiters {
            let _may_send = limiter.allows(per_second / 79.0, at(millis));
        }
    }
    let most = busiest_second(&mut limiters, per_second, 20_000);
    assert!(most <= MOST_IN_A_SECOND, "{most}");
}

// Guards against a cold target that nodes with a small share hardly use.
#[test]
fn a_small_share_of_a_cold_target_is_used() {
    let mut limiter = budgets::ColdLimiter::new(0.5);
    let mut sent = 0;
    for millis in (0..60_000).step_by(100) {
        if limiter.allows(0.2, at(millis)) {
            limiter.take(0.2, at(millis));
            sent += 1;
        }
    }
    assert!((11..=13).contains(&sent), "{sent}");
}

#[test]
fn loads_start_at_the_planners_share_of_the_rate() {
    let mut budget = budgets::LoadBudget::new(at(0));
    budget.set_rate(2.0, 2.0);
    let begun = (0..10_000).filter(|millis| budget.take(at(*millis)));
    let begun = begun.count();
    assert!((19..=21).contains(&begun), "{begun}");
}

#[test]
fn window_counts_drop_old_events() {
    let mut count = budgets::WindowCount::new(time::Duration::from_secs(10));
    for millis in [0, 500, 9_000] {
        count.add(at(millis));
    }
    assert_eq!(count.total(at(9_500)), 3);
    assert_eq!(count.total(at(12_000)), 1);
    assert_eq!(count.total(at(60_000)), 0);
}

fn node(name: &str) -> ids::NodeName {
    name.parse().unwrap()
}

fn view(holder: Option<&str>, local: &[&str], remote: &[&str]) -> stewards::StewardView {
    let names = |list: &[&str]| -> collections::BTreeSet<ids::NodeName> {
        list.iter().map(|name| node(name)).collect()
    };
    stewards::StewardView {
        recorded: holder.map(|holder| stewards::RecordedSteward {
            holder: node(holder),
            term: epochs::LeaseTerm::new(1),
            version: epochs::ObjectVersion::new(5),
        }),
        local: names(local),
        remote: names(remote),
        ..stewards::StewardView::default()
    }
}

#[test]
fn the_first_local_node_claims_a_vacant_data_centre_immediately() {
    let mut first = stewards::StewardElection::new(node("a1"), true);
    let mut second = stewards::StewardElection::new(node("a2"), true);
    let vacant = view(None, &["a1", "a2"], &["b1"]);
    assert!(first.should_claim(&vacant, at(0)));
    assert!(!second.should_claim(&vacant, at(0)));
}

#[test]
fn a_live_steward_keeps_its_data_centre() {
    let mut second = stewards::StewardElection::new(node("a2"), true);
    let served = view(Some("a1"), &["a1", "a2"], &[]);
    for millis in 0..20_000 {
        assert!(!second.should_claim(&served, at(millis)));
    }
}

#[test]
fn a_silent_steward_is_replaced_by_a_local_node_and_later_by_a_remote_one() {
    let silent = view(Some("a1"), &["a2"], &["b1"]);
    let mut local = stewards::StewardElection::new(node("a2"), true);
    assert!(!local.should_claim(&silent, at(1_000)));
    assert!(local.should_claim(&silent, at(1_400)));
    let alone = view(Some("a1"), &[], &["b1"]);
    let mut remote = stewards::StewardElection::new(node("b1"), false);
    assert!(!remote.should_claim(&alone, at(1_000)));
    assert!(!remote.should_claim(&alone, at(8_000)));
    assert!(remote.should_claim(&alone, at(9_100)));
}

#[test]
fn a_steward_whose_vm_has_started_again_is_replaced_sooner_than_a_silent_one() {
    let mut silent = view(Some("a1-old"), &["a1-new", "a2"], &[]);
    let mut first = stewards::StewardElection::new(node("a1-new"), true);
    assert!(!first.should_claim(&silent, at(1_000)));
    assert!(!first.should_claim(&silent, at(1_200)));
    silent.has_ended = true;
    let mut first = stewards::StewardElection::new(node("a1-new"), true);
    let mut second = stewards::StewardElection::new(node("a2"), true);
    assert!(!first.should_claim(&silent, at(1_000)));
    assert!(!second.should_claim(&silent, at(1_000)));
    assert!(first.should_claim(&silent, at(1_100)));
    assert!(!second.should_claim(&silent, at(1_100)));
}

#[test]
fn a_claim_is_not_repeated_immediately() {
    let mut first = stewards::StewardElection::new(node("a1"), true);
    let vacant = view(None, &["a1"], &[]);
    assert!(first.should_claim(&vacant, at(0)));
    assert!(!first.should_claim(&vacant, at(300)));
    assert!(first.should_claim(&vacant, at(800)));
}

#[test]
fn a_steward_that_does_not_reach_the_store_is_replaced_by_the_first_node_that_does() {
    let served = view(Some("a1"), &["a1", "a2", "a3"], &[]);
    let reaching = collections::BTreeSet::from([node("a3"), node("a4")]);
    let restricted = served.clone().with_store_access(&reaching);
    let mut third = stewards::StewardElection::new(node("a3"), true);
    assert!(!third.should_claim(&served, at(1_000)));
    assert!(!third.should_claim(&restricted, at(2_000)));
    assert!(third.should_claim(&restricted, at(2_400)));
}
