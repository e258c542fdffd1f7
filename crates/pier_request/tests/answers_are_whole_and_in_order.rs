//! Tests that answers are complete and in order, and that the reported outcome is correct.

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

fn drain(buffer: &mut attempts::ReorderBuffer<u64>, relayed: &mut Vec<u64>) {
    while let Some(part) = buffer.take_ready() {
        relayed.push(part);
    }
}

#[test]
fn shuffled_and_repeated_parts_over_two_attempts_come_out_once_in_order() {
    let swaps = collection::vec((0_usize..40, 0_usize..40), 0..40);
    let strategy = (1_u64..40, 0_u64..40, swaps, any::<bool>());
    let outcome = runner().run(&strategy, |(length, broken_at, swaps, close_first)| {
        let mut buffer = attempts::ReorderBuffer::default();
        let mut relayed = Vec::new();
        buffer.begin(FIRST);
        for position in 0..broken_at.min(length - 1) {
            buffer.accept(FIRST, position, position, false);
            drain(&mut buffer, &mut relayed);
        }
        if close_first {
            prop_assert_eq!(buffer.close(FIRST), attempts::StreamEnd::Broken);
        }
        let resume_from = buffer.begin(SECOND).get();
        prop_assert_eq!(resume_from, relayed.len() as u64);
        // The engine resumes two tokens early, and late parts of the first attempt are mixed in.
        let start = resume_from.saturating_sub(2);
        let mut parts: Vec<u64> = (start..length).chain(start..length).collect();
        let count = parts.len();
        for (left, right) in swaps {
            parts.swap(left % count, right % count);
        }
        for position in parts {
            buffer.accept(FIRST, position, 1_000 + position, false);
            buffer.accept(SECOND, position, position, position + 1 == length);
            drain(&mut buffer, &mut relayed);
        }
        prop_assert_eq!(buffer.close(FIRST), attempts::StreamEnd::Stale);
        prop_assert_eq!(buffer.close(SECOND), attempts::StreamEnd::Complete);
        prop_assert_eq!(relayed, (0..length).collect::<Vec<_>>());
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn a_missing_part_or_end_breaks_the_stream() {
    for (positions, last) in [(vec![0, 2], Some(2)), (vec![0, 1], None), (vec![], None)] {
        let mut buffer = attempts::ReorderBuffer::default();
        buffer.begin(FIRST);
        for position in positions {
            buffer.accept(FIRST, position, position, Some(position) == last);
            drain(&mut buffer, &mut Vec::new());
        }
        assert_eq!(buffer.close(FIRST), attempts::StreamEnd::Broken);
    }
}

#[test]
fn parts_past_the_end_or_too_far_ahead_are_refused() {
    let mut buffer = attempts::ReorderBuffer::default();
    buffer.begin(FIRST);
    let refused = attempts::PartStatus::Refused;
    assert_eq!(buffer.accept(FIRST, 64, 0, false), refused);
    assert_eq!(
        buffer.accept(FIRST, 3, 0, false),
        attempts::PartStatus::Held
    );
    assert_eq!(buffer.accept(FIRST, 2, 0, true), refused);
    assert_eq!(buffer.accept(FIRST, 4, 0, true), attempts::PartStatus::Held);
    assert_eq!(buffer.accept(FIRST, 5, 0, false), refused);
}

#[test]
fn parts_held_from_one_attempt_are_not_used_in_the_next() {
    let mut buffer = attempts::ReorderBuffer::default();
    buffer.begin(FIRST);
    buffer.accept(FIRST, 1, "late", true);
    buffer.begin(SECOND);
    buffer.accept(SECOND, 0, "new", false);
    assert_eq!(buffer.take_ready(), Some("new"));
    assert_eq!(buffer.take_ready(), None);
    assert_eq!(buffer.close(SECOND), attempts::StreamEnd::Broken);
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
    let did_not_run = |end: attempts::AttemptEnd| {
        matches!(
            end,
            attempts::AttemptEnd::NotConnected | attempts::AttemptEnd::NotStarted
        )
    };
    for first in ends {
        for second in ends {
            let mut outcome = attempts::WorstOutcome::default();
            outcome.record(first);
            outcome.record(second);
            let code = outcome.final_code(codes::ResultCode::Overloaded);
            let expected = did_not_run(first) && did_not_run(second);
            assert_eq!(code.outcome() == codes::RunOutcome::NotRun, expected);
            assert_eq!(outcome.is_not_run(), expected);
        }
    }
}
