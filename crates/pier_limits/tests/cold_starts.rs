//! Checks that evidence of a cold target cuts its limit at once, and that only proof of a warm
//! one raises it.

use std::{collections, time};

use pier_limits::warmth;
use pier_types::{epochs, ids, reports, sizes, times};

const START: times::BootTime = times::BootTime::from_millis(100_000);
const WARM: reports::EngineState = reports::EngineState::Warm;

fn at(millis: u64) -> times::BootTime {
    START.after(time::Duration::from_millis(millis))
}

fn new_ramp() -> warmth::WarmthRamp {
    warmth::WarmthRamp::new(
        sizes::RequestCount::new(64),
        warmth::WarmthPolicy::default(),
    )
}

fn report(
    ramp: &mut warmth::WarmthRamp,
    run: u64,
    state: reports::EngineState,
    millis: u64,
) -> u32 {
    let probed_at = at(millis).before(time::Duration::from_millis(100));
    ramp.record_report(
        epochs::VmIncarnation::new(run),
        state,
        probed_at,
        at(millis),
    );
    ramp.limit(at(millis)).get()
}

/// Returns a ramp that has reached its full limit after 10 s.
fn warm_ramp() -> warmth::WarmthRamp {
    let mut ramp = new_ramp();
    for second in 0..=10 {
        report(&mut ramp, 1, WARM, second * 1_000);
    }
    assert_eq!(ramp.limit(at(10_000)).get(), 64);
    ramp
}

#[test]
fn unknown_is_cold_and_an_empty_engine_bears_nothing() {
    let mut ramp = new_ramp();
    assert_eq!(ramp.limit(START).get(), 4);
    assert_eq!(report(&mut ramp, 1, reports::EngineState::Loading, 0), 0);
    assert_eq!(report(&mut ramp, 1, reports::EngineState::Cold, 500), 4);
}

#[test]
fn the_limit_doubles_at_most_once_a_step_on_new_proof() {
    let mut ramp = new_ramp();
    let limits = [0, 400, 1_100, 1_500, 2_200, 3_300, 4_400, 5_500, 6_600]
        .map(|millis| report(&mut ramp, 1, WARM, millis));
    assert_eq!(limits, [8, 8, 16, 16, 32, 64, 64, 64, 64]);
    let mut stale = new_ramp();
    report(&mut stale, 1, WARM, 0);
    for millis in (1_000..3_000).step_by(500) {
        stale.record_report(epochs::VmIncarnation::new(1), WARM, START, at(millis));
    }
    assert!(
        stale.limit(at(3_000)).get() <= 8,
        "old reports prove nothing new"
    );
}

#[test]
fn each_evidence_of_cold_cuts_at_once() {
    let mut ramp = warm_ramp();
    assert_eq!(report(&mut ramp, 1, reports::EngineState::Cold, 10_500), 4);
    let mut ramp = warm_ramp();
    assert_eq!(report(&mut ramp, 2, WARM, 10_500), 4, "another incarnation");
    let mut ramp = warm_ramp();
    ramp.record_failure(at(10_100));
    ramp.record_failure(at(10_200));
    assert_eq!(
        ramp.limit(at(10_200)).get(),
        64,
        "two failures are no burst yet"
    );
    ramp.record_failure(at(10_300));
    assert_eq!(ramp.limit(at(10_300)).get(), 4, "a burst of failures");
    let mut ramp = warm_ramp();
    for _ in 0..10 {
        ramp.record_answer(time::Duration::from_millis(100), at(10_100));
    }
    for _ in 0..3 {
        ramp.record_answer(time::Duration::from_millis(900), at(10_200));
    }
    assert_eq!(
        ramp.limit(at(10_200)).get(),
        64,
        "three slow answers are no jump yet"
    );
    ramp.record_answer(time::Duration::from_millis(900), at(10_200));
    assert_eq!(ramp.limit(at(10_200)).get(), 4, "a jump of the latency");
}

#[test]
fn missing_evidence_is_cold_until_proved_again() {
    let mut ramp = warm_ramp();
    assert_eq!(ramp.limit(at(13_900)).get(), 64);
    assert_eq!(ramp.limit(at(13_901)).get(), 4);
    assert_eq!(report(&mut ramp, 1, WARM, 20_000), 4);
    assert_eq!(report(&mut ramp, 1, WARM, 21_100), 8);
}

#[test]
fn single_failures_far_apart_cut_nothing() {
    let mut ramp = warm_ramp();
    for second in 0..5 {
        report(&mut ramp, 1, WARM, 10_000 + second * 2_000);
        ramp.record_failure(at(10_000 + second * 2_000));
    }
    assert_eq!(ramp.limit(at(18_000)).get(), 64);
}

fn target_latencies(
    latencies: &[u64],
) -> collections::BTreeMap<ids::TargetId, warmth::TargetLatency> {
    let entry = |(index, millis): (usize, &u64)| {
        let target = ids::TargetId::Vm(format!("vm-{index}").parse().unwrap());
        let average = time::Duration::from_millis(*millis);
        (
            target,
            warmth::TargetLatency {
                average,
                answers: 20,
            },
        )
    };
    latencies.iter().enumerate().map(entry).collect()
}

#[test]
fn a_slow_target_is_found_among_its_peers_but_none_if_many_are_slow() {
    let slow = warmth::SlowTargets::find(&target_latencies(&[100, 110, 90, 500, 100]));
    assert_eq!(slow, [ids::TargetId::Vm("vm-3".parse().unwrap())].into());
    assert!(warmth::SlowTargets::find(&target_latencies(&[100, 110, 90, 290, 100])).is_empty());
    assert!(
        warmth::SlowTargets::find(&target_latencies(&[100, 100, 100, 100, 900, 900, 900]))
            .is_empty()
    );
    assert!(warmth::SlowTargets::find(&target_latencies(&[])).is_empty());
    let mut new = target_latencies(&[100, 110, 90, 500, 100]);
    for latency in new.values_mut() {
        latency.answers = 3;
    }
    assert!(
        warmth::SlowTargets::find(&new).is_empty(),
        "too few answers"
    );
}
