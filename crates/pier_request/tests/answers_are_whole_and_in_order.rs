//! Proves the order and wholeness of answers, and the truth of the three outcomes.

use pier_request::attempts;
use pier_types::{codes, ids};
use proptest::{collection, prelude::*, test_runner};

const FIRST: ids::AttemptId = ids::AttemptId::new(1);
const SECOND: ids::AttemptId = ids::AttemptId::new(2);

fn runner() -> test_runner::TestRunner {
    let config = test_runner::Config {
        cases: 200,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let algorithm = test_runner::RngAlgorithm::ChaCha;
    let rng = test_runner::TestRng::deterministic_rng(algorithm);
    test_runner::TestRunner::new_with_rng(config, rng)
}

fn drain(tracker: &mut attempts::AttemptTracker<u64>, relayed: &mut Vec<u64>) {
    while let Some(part) = tracker.take_ready() {
        relayed.push(part);
    }
}

#[test]
fn shuffled_and_repeated_parts_over_two_attempts_come_out_once_in_order() {
    let swaps = collection::vec((0_usize..40, 0_usize..40), 0..40);
    let strategy = (1_u64..40, 0_u64..40, swaps, any::<bool>());
    let outcome = runner().run(&strategy, |(length, broken_at, swaps, close_first)| {
        let mut tracker = attempts::AttemptTracker::default();
        let mut relayed = Vec::new();
        tracker.begin(FIRST);
        for position in 0..broken_at.min(length - 1) {
            tracker.accept(FIRST, position, position, false);
            drain(&mut tracker, &mut relayed);
        }
        if close_first {
            prop_assert_eq!(tracker.close(FIRST), attempts::StreamEnd::Broken);
        }
        let resume_from = tracker.begin(SECOND).get();
        prop_assert_eq!(resume_from, relayed.len() as u64);
        // The engine resumes a little early, and the late rest of the first attempt comes between.
        let start = resume_from.saturating_sub(2);
        let mut parts: Vec<u64> = (start..length).chain(start..length).collect();
        let count = parts.len();
        for (left, right) in swaps {
            parts.swap(left % count, right % count);
        }
        for position in parts {
            tracker.accept(FIRST, position, 1_000 + position, false);
            tracker.accept(SECOND, position, position, position + 1 == length);
            drain(&mut tracker, &mut relayed);
        }
        prop_assert_eq!(tracker.close(FIRST), attempts::StreamEnd::Stale);
        prop_assert_eq!(tracker.close(SECOND), attempts::StreamEnd::Whole);
        prop_assert_eq!(relayed, (0..length).collect::<Vec<_>>());
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn a_missing_part_or_end_breaks_the_stream() {
    for (positions, last) in [(vec![0, 2], Some(2)), (vec![0, 1], None), (vec![], None)] {
        let mut tracker = attempts::AttemptTracker::default();
        tracker.begin(FIRST);
        for position in positions {
            tracker.accept(FIRST, position, position, Some(position) == last);
            drain(&mut tracker, &mut Vec::new());
        }
        assert_eq!(tracker.close(FIRST), attempts::StreamEnd::Broken);
    }
}

#[test]
fn parts_behind_the_end_or_far_ahead_are_refused() {
    let mut tracker = attempts::AttemptTracker::default();
    tracker.begin(FIRST);
    let refused = attempts::PartVerdict::Refused;
    assert_eq!(tracker.accept(FIRST, 64, 0, false), refused);
    assert_eq!(
        tracker.accept(FIRST, 3, 0, false),
        attempts::PartVerdict::Held
    );
    assert_eq!(tracker.accept(FIRST, 2, 0, true), refused);
    assert_eq!(
        tracker.accept(FIRST, 4, 0, true),
        attempts::PartVerdict::Held
    );
    assert_eq!(tracker.accept(FIRST, 5, 0, false), refused);
}

#[test]
fn nothing_waiting_in_one_attempt_is_mixed_into_the_next() {
    let mut tracker = attempts::AttemptTracker::default();
    tracker.begin(FIRST);
    tracker.accept(FIRST, 1, "late", true);
    tracker.begin(SECOND);
    tracker.accept(SECOND, 0, "new", false);
    assert_eq!(tracker.take_ready(), Some("new"));
    assert_eq!(tracker.take_ready(), None);
    assert_eq!(tracker.close(SECOND), attempts::StreamEnd::Broken);
}

#[test]
fn not_run_is_said_only_when_no_attempt_may_have_run() {
    let ends = [
        attempts::AttemptEnd::NotConnected,
        attempts::AttemptEnd::NotStarted,
        attempts::AttemptEnd::Lost,
        attempts::AttemptEnd::Broken,
        attempts::AttemptEnd::Failed,
        attempts::AttemptEnd::Rejected,
        attempts::AttemptEnd::TimedOut,
    ];
    let certain = |end: attempts::AttemptEnd| {
        matches!(
            end,
            attempts::AttemptEnd::NotConnected | attempts::AttemptEnd::NotStarted
        )
    };
    for first in ends {
        for second in ends {
            let mut ledger = attempts::OutcomeLedger::default();
            ledger.record(first);
            ledger.record(second);
            let code = ledger.final_code(codes::ResultCode::Overloaded);
            let expected = certain(first) && certain(second);
            assert_eq!(code.outcome() == codes::RunOutcome::NotRun, expected);
            assert_eq!(ledger.is_not_run(), expected);
        }
    }
}
