//! Checks that the reviews detect broken promises.

use std::time;

use pier_fakes::record;
use pier_load::{calls, reviews};
use pier_types::{priorities, times};

fn at(millis: u64) -> times::BootTime {
    times::BootTime::from_millis(millis)
}

fn call(outcome: calls::CallOutcome) -> calls::CallRecord {
    let plan = calls::CallPlan {
        number: 7,
        at: time::Duration::ZERO,
        node_index: 0,
        prefix: 0,
        tokens: 2,
        is_streamed: false,
        priority: priorities::RequestPriority::Normal,
        deadline: time::Duration::from_secs(1),
    };
    calls::CallRecord {
        plan,
        sent_at: at(0),
        ended_at: at(10),
        outcome,
        time_to_first_token: None,
        token_gaps: Vec::new(),
    }
}

/// Returns what an engine records for that call, in progress from `from` to `until` milliseconds.
fn entry(from: u64, until: u64, started: bool) -> record::RecordEntry {
    let plan = call(calls::CallOutcome::Complete).plan;
    record::RecordEntry {
        sequence: 1,
        arrived_at: at(from),
        ended_at: Some(at(until)),
        method: "POST".to_owned(),
        path: "v1/completions".to_owned(),
        attempt: None,
        key: None,
        body_hash: String::new(),
        body_prefix: plan.body("draft").chars().take(200).collect(),
        started,
        end: record::RunEnd::Finished,
        tokens: 2,
        effect: "answered".to_owned(),
    }
}

fn refused(is_not_run: bool, has_retry_after: bool) -> calls::CallOutcome {
    calls::CallOutcome::Refused {
        code: 2001,
        is_not_run,
        has_retry_after,
    }
}

/// Returns whether a call with this outcome passes the check, given what the engines recorded.
fn passes(outcome: calls::CallOutcome, entries: &[record::RecordEntry]) -> bool {
    let review = reviews::CallReview::new(entries);
    review.check(&call(outcome)).is_ok()
}

#[test]
fn a_refusal_must_be_true_and_say_when_to_come_back() {
    assert!(passes(refused(true, true), &[]));
    assert!(passes(refused(true, true), &[entry(1, 2, false)]));
    assert!(!passes(refused(true, true), &[entry(1, 2, true)]));
    assert!(!passes(refused(true, false), &[]));
    assert!(passes(refused(false, false), &[entry(1, 2, true)]));
}

#[test]
fn an_answer_must_be_whole_its_own_and_really_run() {
    let wrong = calls::CallOutcome::Wrong {
        text: "other".to_owned(),
    };
    let broken = calls::CallOutcome::Broken {
        cause: "no end mark".to_owned(),
    };
    assert!(passes(calls::CallOutcome::Complete, &[entry(1, 2, true)]));
    assert!(!passes(calls::CallOutcome::Complete, &[]));
    assert!(!passes(wrong, &[entry(1, 2, true)]));
    assert!(!passes(broken, &[entry(1, 2, true)]));
}

#[test]
fn retries_are_arrivals_after_the_first() {
    let entries = [entry(1, 2, false), entry(3, 4, true)];
    let review = reviews::CallReview::new(&entries);
    assert_eq!(review.retries(&call(calls::CallOutcome::Complete)), 1);
    assert!(review.reached(&call(calls::CallOutcome::Complete)));
}

#[test]
fn most_in_flight_counts_started_work_of_one_engine() {
    let first = vec![entry(0, 10, true), entry(5, 12, true), entry(10, 20, true)];
    let second = vec![entry(0, 20, true), entry(0, 20, false)];
    let engines = [first, second];
    let review = reviews::EngineReview::new(&engines);
    assert_eq!(review.max_in_flight(), 2);
    assert_eq!(
        review.last_new_work(at(4), at(30)),
        Some(time::Duration::from_millis(6))
    );
    assert_eq!(review.last_new_work(at(10), at(30)), None);
    assert_eq!(review.arrivals(at(0), at(10)), 4);
}

#[test]
fn work_lost_with_its_engine_is_seen() {
    let mut lost = entry(0, 10, true);
    lost.effect = "broken off: engine down".to_owned();
    let engines = [vec![lost]];
    assert_eq!(reviews::EngineReview::new(&engines).lost(), 1);
}
