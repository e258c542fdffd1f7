//! Simulates a whole fleet under faults, in virtual time with seeded randomness.

use rand::{Rng as _, SeedableRng as _, rngs};

use crate::relayed_fleet::{NODES, RelayedFleet};

/// Time between two steps, in milliseconds.
const STEP: u64 = 10;

/// Maximum time until every node has a changed list, in milliseconds: the "few seconds" of the
/// requirements.
const FEW_SECONDS: u64 = 4_000;

fn fleet(seed: u64) -> RelayedFleet {
    RelayedFleet::new(rngs::StdRng::seed_from_u64(seed))
}

fn run(fleet: &mut RelayedFleet, from: u64, to: u64) {
    for now in (from..to).step_by(usize::try_from(STEP).unwrap()) {
        fleet.tick(now);
    }
}

fn held(fleet: &RelayedFleet) -> Vec<u64> {
    (0..NODES).map(|node| fleet.held(node)).collect()
}

#[test]
fn no_node_goes_back_to_an_older_list_under_loss_delay_and_pauses() {
    for seed in 0..60 {
        let mut fleet = fleet(seed);
        let mut random = rngs::StdRng::seed_from_u64(1_000 + seed);
        for second in 0..60 {
            fleet.version += u64::from(random.random_range(0..3) == 0);
            fleet.set_slow(random.random_bool(0.3));
            fleet.loss = random.random_range(0..40);
            if random.random_bool(0.1) {
                fleet.reader = [random.random_range(0..NODES); NODES];
            }
            if random.random_bool(0.1) {
                // A node that was paused when the reader changed still takes itself or another
                // node for the reader.
                fleet.reader[random.random_range(0..NODES)] = random.random_range(0..NODES);
            }
            if random.random_bool(0.1) {
                let until = second * 1_000 + random.random_range(0..8_000);
                fleet.pause(random.random_range(0..NODES), until);
            }
            if random.random_bool(0.1) {
                fleet.cut_off = [random.random_range(0..NODES)].into();
            }
            run(&mut fleet, second * 1_000, (second + 1) * 1_000);
        }
        fleet.loss = 0;
        fleet.set_slow(false);
        fleet.cut_off.clear();
        fleet.reader = [0; NODES];
        run(&mut fleet, 60_000, 80_000);
        assert_eq!(held(&fleet), [fleet.version; NODES], "seed {seed}");
    }
}

#[test]
fn with_a_reader_the_platform_is_read_twice_a_second() {
    let mut fleet = fleet(1);
    run(&mut fleet, 0, 10_000);
    let before = fleet.readings;
    for second in 10..40 {
        fleet.version += u64::from(second % 5 == 0);
        run(&mut fleet, second * 1_000, (second + 1) * 1_000);
    }
    let readings = fleet.readings - before;
    assert!((55..=61).contains(&readings), "{readings} in 30 s");
    assert_eq!(held(&fleet), [fleet.version; NODES]);
}

/// Changes the list while a fault is present, and returns the nodes that do not have the change
/// after a few seconds.
fn behind_after(seed: u64, fault: impl Fn(&mut RelayedFleet, u64)) -> Vec<usize> {
    let mut fleet = fleet(seed);
    let start = 10_000 + seed * 37 / STEP * STEP;
    run(&mut fleet, 0, start);
    assert_eq!(held(&fleet), [1; NODES]);
    fault(&mut fleet, start);
    fleet.version += 1;
    run(&mut fleet, start, start + FEW_SECONDS);
    (0..NODES).filter(|node| fleet.held(*node) != 2).collect()
}

#[test]
fn a_change_reaches_every_node_in_a_few_seconds() {
    for seed in 0..50 {
        assert!(behind_after(seed, |_, _| {}).is_empty());
        let lossy = behind_after(seed, |fleet, _| fleet.loss = 10);
        assert!(lossy.is_empty(), "seed {seed}: {lossy:?} with loss");
        let paused = behind_after(seed, |fleet, now| fleet.pause(0, now + 60_000));
        assert_eq!(paused, [0], "seed {seed}: only the paused reader lacks it");
        let cut_off = behind_after(seed, |fleet, _| fleet.cut_off = [0].into());
        assert!(cut_off.iter().all(|node| *node == 0), "seed {seed}");
        let partitioned = behind_after(seed, |fleet, _| fleet.loss = 100);
        assert!(partitioned.is_empty(), "seed {seed}: {partitioned:?}");
        let unknown = behind_after(seed, |fleet, _| fleet.reader = [7, 7, 7, 7, 7].map(|_| 4));
        assert!(unknown.is_empty(), "seed {seed}: {unknown:?}");
    }
}

/// Time between two ticks of a busy daemon, in milliseconds. Normally it is 100 ms, but a late
/// tick delays all later ones.
const LATE_TICK: u64 = 110;

#[test]
fn followers_do_not_read_the_platform_when_ticks_are_late() {
    for seed in 0..20 {
        let mut fleet = fleet(seed);
        fleet.tick = LATE_TICK;
        run(&mut fleet, 0, 10_000);
        let before = fleet.readings;
        run(&mut fleet, 10_000, 40_000);
        let readings = fleet.readings - before;
        assert!(readings <= 61, "seed {seed}: {readings} in 30 s");
    }
}
