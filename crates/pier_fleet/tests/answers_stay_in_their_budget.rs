//! Which answers a node holds for callers that read slowly, and which it ends for others.

use pier_fleet::budgets::{self, AnswerEnd, AnswerGrant};
use pier_types::{sizes, times};

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;

/// Of eight MiB, two are for small answers.
fn budget() -> budgets::AnswerBudget {
    let (all, rate) = (
        sizes::ByteSize::new(8 * MIB),
        sizes::ByteSize::new(16 * KIB),
    );
    budgets::AnswerBudget::new(all, rate)
}

fn at(millis: u64) -> times::BootTime {
    times::BootTime::from_millis(millis)
}

/// Adds an answer of this size that waits for its caller from this time on.
fn waiting(budget: &mut budgets::AnswerBudget, bytes: u64, since: u64) -> budgets::AnswerId {
    let id = budget.begin();
    assert_eq!(budget.reserve(id, bytes, at(since)), AnswerGrant::Granted);
    budget.hand_over(id, bytes, at(since));
    id
}

#[test]
fn the_answer_that_is_unread_longest_is_ended_first() {
    let mut budget = budget();
    let first = waiting(&mut budget, 3 * MIB, 0);
    let second = waiting(&mut budget, 3 * MIB, 500);
    budget.take(first, KIB, at(1_000));
    let new = budget.begin();
    let grant = budget.reserve(new, MIB, at(2_000));
    assert_eq!(grant, AnswerGrant::Waits(vec![(second, AnswerEnd::Unread)]));
    let again = budget.reserve(new, MIB, at(2_000));
    assert_eq!(again, AnswerGrant::Waits(Vec::new()));
    budget.release(second);
    assert_eq!(budget.reserve(new, MIB, at(2_000)), AnswerGrant::Granted);
    assert_eq!(budget.total(), sizes::ByteSize::new(4 * MIB - KIB));
}

#[test]
fn a_caller_below_the_least_rate_gives_way_to_others() {
    let mut budget = budget();
    let slow = waiting(&mut budget, 2 * MIB, 0);
    let steady = waiting(&mut budget, 4 * MIB, 0);
    budget.take(slow, KIB, at(1_900));
    budget.take(steady, MIB, at(1_900));
    let new = budget.begin();
    let grant = budget.reserve(new, 2 * MIB, at(2_000));
    assert_eq!(grant, AnswerGrant::Waits(vec![(slow, AnswerEnd::Slow)]));
}

#[test]
fn an_answer_waits_while_callers_take_theirs() {
    let mut budget = budget();
    let steady = waiting(&mut budget, 6 * MIB, 0);
    budget.take(steady, MIB, at(1_900));
    let new = budget.begin();
    let waits = AnswerGrant::Waits(Vec::new());
    assert_eq!(budget.reserve(new, 2 * MIB, at(2_000)), waits);
    budget.take(steady, MIB, at(2_100));
    assert_eq!(
        budget.reserve(new, 2 * MIB, at(2_100)),
        AnswerGrant::Granted
    );
}

#[test]
fn an_answer_whose_target_is_slow_is_not_unread() {
    let mut budget = budget();
    let begun = budget.begin();
    assert_eq!(budget.reserve(begun, 5 * MIB, at(0)), AnswerGrant::Granted);
    budget.hand_over(begun, MIB, at(0));
    budget.take(begun, MIB, at(10));
    let unread = waiting(&mut budget, MIB, 9_000);
    let new = budget.begin();
    let grant = budget.reserve(new, 2 * MIB, at(20_000));
    assert_eq!(grant, AnswerGrant::Waits(vec![(unread, AnswerEnd::Unread)]));
}

#[test]
fn the_newest_is_given_up_where_no_caller_is_at_fault() {
    let mut budget = budget();
    let first = budget.begin();
    let second = budget.begin();
    assert_eq!(budget.reserve(first, 3 * MIB, at(0)), AnswerGrant::Granted);
    assert_eq!(budget.reserve(second, 3 * MIB, at(0)), AnswerGrant::Granted);
    let refused = AnswerGrant::Refused(AnswerEnd::Crowded);
    assert_eq!(budget.reserve(second, KIB, at(5_000)), refused);
    let waits = AnswerGrant::Waits(vec![(second, AnswerEnd::Crowded)]);
    assert_eq!(budget.reserve(first, KIB, at(5_000)), waits);
}

/// Guards against large answers that nobody reads, and that take the room of ordinary ones.
#[test]
fn small_answers_pass_whatever_large_ones_hold() {
    let mut budget = budget();
    let _large = waiting(&mut budget, 6 * MIB, 0);
    let small = waiting(&mut budget, 64 * KIB, 100);
    budget.take(small, 64 * KIB, at(110));
    budget.release(small);
    assert_eq!(budget.total(), sizes::ByteSize::new(6 * MIB));
}

#[test]
fn an_answer_that_grows_takes_its_memory_to_the_large_part() {
    let mut budget = budget();
    let growing = budget.begin();
    for _ in 0..48 {
        assert_eq!(
            budget.reserve(growing, 128 * KIB, at(0)),
            AnswerGrant::Granted
        );
    }
    let refused = AnswerGrant::Refused(AnswerEnd::Crowded);
    assert_eq!(budget.reserve(growing, 128 * KIB, at(0)), refused);
    budget.discard(growing, 6 * MIB);
    assert_eq!(budget.total(), sizes::ByteSize::new(0));
    let small = budget.reserve(growing, 64 * KIB, at(0));
    assert_eq!(small, AnswerGrant::Granted);
}
