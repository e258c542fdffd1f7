//! Proves that a request which crashes its targets is kept away after few, and others are not.

use std::time;

use pier_request::quarantine;
use pier_types::{epochs, ids, times};
use proptest::{collection, prelude::*, test_runner};
use rand::{Rng, SeedableRng, rngs};

fn request(number: u32) -> ids::RequestFingerprint {
    ids::RequestFingerprint::of("college", "/v1/completions", &number.to_le_bytes())
}

fn target(number: u32) -> ids::TargetId {
    ids::TargetId::Vm(format!("vm-{number}").parse().unwrap())
}

fn crash(
    ledger: &mut quarantine::CrashLedger,
    vm: u32,
    generation: u64,
    requests: &[u32],
    now: u64,
) {
    let in_flight: Vec<_> = requests.iter().map(|number| request(*number)).collect();
    ledger.target_died(
        &target(vm),
        epochs::GroupGeneration::new(generation),
        quarantine::DeathCause::ProcessLost,
        &in_flight,
        0,
        times::BootTime::from_millis(now),
    );
}

fn is_kept_away(ledger: &quarantine::CrashLedger, number: u32, now: u64) -> bool {
    let now = times::BootTime::from_millis(now);
    ledger
        .snapshot(now)
        .remaining(request(number), now)
        .is_some()
}

#[test]
fn two_targets_are_enough_for_a_request_that_was_alone_or_among_few() {
    let mut ledger = quarantine::CrashLedger::default();
    crash(&mut ledger, 1, 1, &[7], 10);
    assert!(!is_kept_away(&ledger, 7, 20));
    crash(&mut ledger, 2, 1, &[7, 8, 9], 20);
    assert!(is_kept_away(&ledger, 7, 30));
    assert!(!is_kept_away(&ledger, 8, 30));
    assert!(!is_kept_away(&ledger, 9, 30));
}

#[test]
fn three_targets_are_enough_among_many() {
    let mut ledger = quarantine::CrashLedger::default();
    for vm in 0..3 {
        assert!(!is_kept_away(&ledger, 7, 20));
        let beside = 100 * vm + 100;
        crash(
            &mut ledger,
            vm,
            1,
            &[7, beside, beside + 1, beside + 2, beside + 3],
            10,
        );
    }
    assert!(is_kept_away(&ledger, 7, 20));
    assert_eq!(ledger.snapshot(times::BootTime::from_millis(20)).len(), 1);
}

#[test]
fn the_only_target_of_a_pool_is_spared_after_three_crashes() {
    let mut ledger = quarantine::CrashLedger::default();
    for generation in 1..=3 {
        assert!(!is_kept_away(&ledger, 7, 20));
        crash(&mut ledger, 1, generation, &[7], 10);
    }
    assert!(is_kept_away(&ledger, 7, 20));
}

#[test]
fn the_same_crash_told_many_times_counts_once() {
    let mut ledger = quarantine::CrashLedger::default();
    let mut other = quarantine::CrashLedger::default();
    crash(&mut ledger, 1, 1, &[7], 10);
    let now = times::BootTime::from_millis(11);
    for _ in 0..5 {
        crash(&mut ledger, 1, 1, &[7], 10);
        other.merge(&ledger.delta(now, 10), now);
        ledger.merge(&other.delta(now, 10), now);
    }
    assert!(!is_kept_away(&ledger, 7, 11));
    assert!(!is_kept_away(&other, 7, 11));
}

#[test]
fn targets_lost_for_another_reason_implicate_nobody() {
    for cause in [
        quarantine::DeathCause::Unreachable,
        quarantine::DeathCause::Ordered,
    ] {
        let mut ledger = quarantine::CrashLedger::default();
        for vm in 0..9 {
            let generation = epochs::GroupGeneration::new(1);
            let now = times::BootTime::from_millis(10);
            ledger.target_died(&target(vm), generation, cause, &[request(7)], 1, now);
        }
        assert!(ledger.is_empty());
    }
}

#[test]
fn a_request_is_followed_through_other_nodes() {
    let mut nodes = [
        quarantine::CrashLedger::default(),
        quarantine::CrashLedger::default(),
        quarantine::CrashLedger::default(),
    ];
    crash(&mut nodes[0], 1, 1, &[7], 10);
    crash(&mut nodes[1], 2, 1, &[7], 10);
    let now = times::BootTime::from_millis(12);
    for sender in 0..2 {
        let delta = nodes[sender].delta(now, 20);
        nodes[2].merge(&delta, now);
    }
    assert!(is_kept_away(&nodes[2], 7, 12));
}

#[test]
fn a_request_that_ends_elsewhere_is_cleared_on_all_nodes() {
    let mut first = quarantine::CrashLedger::default();
    let mut second = quarantine::CrashLedger::default();
    crash(&mut first, 1, 1, &[7], 10);
    crash(&mut first, 2, 1, &[7], 10);
    let now = times::BootTime::from_millis(12);
    second.merge(&first.delta(now, 20), now);
    assert!(is_kept_away(&second, 7, 12));
    assert!(first.snapshot(now).is_implicated(request(7)));
    first.completed(request(7));
    second.merge(&first.delta(now, 20), now);
    first.merge(&second.delta(now, 20), now);
    assert!(!is_kept_away(&first, 7, 12) && !is_kept_away(&second, 7, 12));
}

#[test]
fn a_mark_expires_although_nodes_go_on_telling_each_other() {
    let mut first = quarantine::CrashLedger::default();
    let mut second = quarantine::CrashLedger::default();
    crash(&mut first, 1, 1, &[7], 0);
    crash(&mut first, 2, 1, &[7], 0);
    let transfer = time::Duration::from_secs(20);
    let mut now = times::BootTime::from_millis(190_000);
    for _ in 0..30 {
        let told = first.delta(now, 20);
        now = now.after(transfer);
        first.expire(now);
        second.merge(&told, now);
        let told = second.delta(now, 20);
        now = now.after(transfer);
        second.expire(now);
        first.merge(&told, now);
        let kept = first.snapshot(now).remaining(request(7), now);
        assert_eq!(kept.is_some(), now.as_micros() < 600_000_000);
    }
    first.expire(now);
    assert!(first.is_empty() && second.is_empty());
}

#[test]
fn memory_is_bounded_and_the_oldest_crashes_go_first() {
    let mut ledger = quarantine::CrashLedger::default();
    for number in 0..6_000 {
        crash(&mut ledger, number % 50, 1, &[number], u64::from(number));
    }
    assert!((3_000..=4_096).contains(&ledger.len()));
    let set = ledger.snapshot(times::BootTime::from_millis(6_000));
    assert!(set.is_implicated(request(5_999)) && !set.is_implicated(request(0)));
}

#[test]
fn merging_is_independent_of_order_and_repetition() {
    let config = test_runner::Config {
        cases: 60,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let algorithm = test_runner::RngAlgorithm::ChaCha;
    let rng = test_runner::TestRng::deterministic_rng(algorithm);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);
    let marks = collection::vec(
        (0_u32..4, 0_u32..4, 1_u64..3, 1_u32..9, any::<bool>()),
        1..20,
    );
    let outcome = runner.run(&(marks, any::<u64>()), |(marks, seed)| {
        let now = times::BootTime::from_millis(50_000);
        let to_delta = |mark: &(u32, u32, u64, u32, bool)| quarantine::CrashDelta {
            marks: vec![quarantine::CrashMark {
                fingerprint: request(mark.0),
                target: target(mark.1),
                generation: epochs::GroupGeneration::new(mark.2),
                suspects: mark.3,
                cleared: mark.4,
                age_ms: 5,
            }],
        };
        let mut rng = rngs::StdRng::seed_from_u64(seed);
        let mut ordered = quarantine::CrashLedger::default();
        let mut shuffled = quarantine::CrashLedger::default();
        for mark in &marks {
            ordered.merge(&to_delta(mark), now);
        }
        for _ in 0..marks.len() {
            let index = rng.random_range(0..marks.len());
            shuffled.merge(&to_delta(&marks[index]), now);
        }
        for mark in marks.iter().rev() {
            shuffled.merge(&to_delta(mark), now);
        }
        prop_assert_eq!(ordered.snapshot(now), shuffled.snapshot(now));
        prop_assert_eq!(ordered.delta(now, 99), shuffled.delta(now, 99));
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn few_innocents_are_kept_away_beside_a_crashing_request() {
    // Ten targets with eight requests each; request 0 crashes what runs it, the rest move on.
    let (mut crashes, mut wronged) = (0_usize, 0_usize);
    for seed in 0..200 {
        let mut rng = rngs::StdRng::seed_from_u64(seed);
        let mut ledger = quarantine::CrashLedger::default();
        let mut places: Vec<u32> = (0..80).map(|number| number % 10).collect();
        let mut generation = 1;
        while !is_kept_away(&ledger, 0, generation) {
            let place = places[0];
            let there: Vec<u32> = (0..80)
                .filter(|number| places[*number as usize] == place)
                .collect();
            crash(&mut ledger, place, generation, &there, generation);
            for number in there {
                places[number as usize] = (place + rng.random_range(1..10)) % 10;
            }
            generation += 1;
            crashes += 1;
        }
        wronged += ledger
            .snapshot(times::BootTime::from_millis(generation))
            .len()
            - 1;
    }
    assert_eq!(crashes, 3 * 200);
    assert!(
        wronged <= 200 * 80 / 100,
        "{wronged} of 15,800 innocents kept away"
    );
}

#[test]
fn requests_marked_one_by_one_count_as_one_crash_of_many() {
    let mut ledger = quarantine::CrashLedger::default();
    for vm in 0..2 {
        for number in [7, 100 + vm, 200 + vm, 300 + vm, 400 + vm] {
            crash(&mut ledger, vm, 1, &[number], 10);
        }
    }
    // Alone on two targets it would be kept away; among five it is not yet.
    assert!(!is_kept_away(&ledger, 7, 20));
}
