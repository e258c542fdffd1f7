//! Which bodies of requests a node holds, and which it ends for others.

use pier_fleet::budgets::{self, BodyEnd, BodyGrant};
use pier_types::{sizes, times};

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;

/// Of eight MiB, one is for small bodies.
fn empty_budget() -> budgets::BodyBudget {
    let (all, rate) = (
        sizes::ByteSize::new(8 * MIB),
        sizes::ByteSize::new(16 * KIB),
    );
    budgets::BodyBudget::new(all, rate)
}

/// Three MiB are left for large bodies, as a request in progress holds four.
fn budget() -> budgets::BodyBudget {
    let mut budget = empty_budget();
    let running = budget.begin(Some(4 * MIB), at(0));
    assert_eq!(budget.reserve(running, 4 * MIB, at(0)), BodyGrant::Granted);
    budget.complete(running);
    budget
}

fn at(millis: u64) -> times::BootTime {
    times::BootTime::from_millis(millis)
}

#[test]
fn a_body_that_has_gone_quiet_is_ended_first() {
    let mut budget = budget();
    let first = budget.begin(Some(2 * MIB), at(0));
    let second = budget.begin(Some(2 * MIB), at(0));
    let third = budget.begin(Some(2 * MIB), at(0));
    assert_eq!(budget.reserve(first, MIB, at(0)), BodyGrant::Granted);
    assert_eq!(budget.reserve(second, 2 * MIB, at(0)), BodyGrant::Granted);
    budget.record_progress(first, at(600));
    budget.record_progress(third, at(700));
    let grant = budget.reserve(third, MIB, at(700));
    assert_eq!(grant, BodyGrant::Waits(vec![(second, BodyEnd::Quiet)]));
    let again = budget.reserve(third, MIB, at(700));
    assert_eq!(again, BodyGrant::Waits(Vec::new()));
    budget.release(second);
    assert_eq!(budget.reserve(third, MIB, at(700)), BodyGrant::Granted);
    assert_eq!(budget.total(), sizes::ByteSize::new(6 * MIB));
}

#[test]
fn the_oldest_below_the_least_rate_is_ended_before_one_that_comes_fast() {
    let mut budget = budget();
    let slow = budget.begin(Some(MIB), at(0));
    assert_eq!(budget.reserve(slow, 70 * KIB, at(0)), BodyGrant::Granted);
    let fast = budget.begin(Some(4 * MIB), at(9_000));
    assert_eq!(
        budget.reserve(fast, 2_900 * KIB, at(9_000)),
        BodyGrant::Granted
    );
    budget.record_progress(slow, at(9_900));
    budget.record_progress(fast, at(9_900));
    let grant = budget.reserve(fast, 120 * KIB, at(9_900));
    assert_eq!(grant, BodyGrant::Waits(vec![(slow, BodyEnd::Slow)]));
}

#[test]
fn the_newest_is_given_up_where_all_make_progress() {
    let mut budget = budget();
    let first = budget.begin(Some(2 * MIB), at(0));
    let second = budget.begin(Some(2 * MIB), at(10));
    assert_eq!(
        budget.reserve(first, 3 * MIB / 2, at(20)),
        BodyGrant::Granted
    );
    assert_eq!(
        budget.reserve(second, 3 * MIB / 2, at(20)),
        BodyGrant::Granted
    );
    let refused = BodyGrant::Refused(BodyEnd::Crowded);
    assert_eq!(budget.reserve(second, KIB, at(30)), refused);
    let grant = budget.reserve(first, KIB, at(30));
    assert_eq!(grant, BodyGrant::Waits(vec![(second, BodyEnd::Crowded)]));
}

#[test]
fn complete_bodies_are_not_ended_for_others() {
    let mut budget = budget();
    let running = budget.begin(Some(3 * MIB), at(0));
    assert_eq!(budget.reserve(running, 3 * MIB, at(0)), BodyGrant::Granted);
    budget.complete(running);
    let late = budget.begin(Some(MIB), at(60_000));
    let refused = BodyGrant::Refused(BodyEnd::Crowded);
    assert_eq!(budget.reserve(late, KIB, at(60_000)), refused);
    assert_eq!(
        budget.give_up_one(at(60_000)),
        Some((late, BodyEnd::Crowded))
    );
}

#[test]
fn small_bodies_keep_a_part_that_large_ones_cannot_take() {
    let mut budget = budget();
    let large = budget.begin(None, at(0));
    assert_eq!(budget.reserve(large, 64 * KIB, at(0)), BodyGrant::Granted);
    assert_eq!(
        budget.reserve(large, 2_900 * KIB, at(0)),
        BodyGrant::Granted
    );
    let other = budget.begin(Some(MIB), at(0));
    let refused = BodyGrant::Refused(BodyEnd::Crowded);
    assert_eq!(budget.reserve(other, 200 * KIB, at(0)), refused);
    for _ in 0..16 {
        let small = budget.begin(Some(64 * KIB), at(0));
        assert_eq!(budget.reserve(small, 64 * KIB, at(0)), BodyGrant::Granted);
    }
}

#[test]
fn a_single_body_is_held_whatever_its_size() {
    let mut budget = empty_budget();
    let running = budget.begin(Some(MIB), at(0));
    assert_eq!(budget.reserve(running, MIB, at(0)), BodyGrant::Granted);
    budget.complete(running);
    let huge = budget.begin(Some(8 * MIB), at(5_000));
    let refused = BodyGrant::Refused(BodyEnd::Crowded);
    assert_eq!(budget.reserve(huge, 8 * MIB, at(5_000)), refused);
    budget.release(running);
    let granted = budget.reserve(huge, 8 * MIB, at(5_000));
    assert_eq!(granted, BodyGrant::Granted);
    let other = budget.begin(Some(MIB), at(5_000));
    assert_eq!(budget.reserve(other, KIB, at(5_000)), refused);
}

// Guards against an ordinary request that is refused beside a crowd of small bodies that has just
// sent.
#[test]
fn the_longest_of_the_small_bodies_is_given_up_for_a_short_one() {
    let mut budget = budget();
    let crowd: Vec<_> = (0..32).map(|_| budget.begin(None, at(0))).collect();
    for body in &crowd {
        assert_eq!(budget.reserve(*body, 32 * KIB, at(0)), BodyGrant::Granted);
    }
    let refused = BodyGrant::Refused(BodyEnd::Crowded);
    assert_eq!(budget.reserve(crowd[0], 32 * KIB, at(10)), refused);
    let ordinary = budget.begin(Some(10), at(10));
    let grant = budget.reserve(ordinary, 10, at(10));
    assert_eq!(grant, BodyGrant::Waits(vec![(crowd[31], BodyEnd::Crowded)]));
    budget.release(crowd[31]);
    assert_eq!(budget.reserve(ordinary, 10, at(10)), BodyGrant::Granted);
}
