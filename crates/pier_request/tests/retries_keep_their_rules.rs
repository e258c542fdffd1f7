//! Tests which requests are retried, within which budget, and never past the deadline.

use std::{sync, thread, time};

use pier_request::{attempts, retries};
use pier_types::{codes, sizes, times};

const ENDS: [attempts::AttemptEnd; 7] = [
    attempts::AttemptEnd::NotConnected,
    attempts::AttemptEnd::NotStarted,
    attempts::AttemptEnd::Lost,
    attempts::AttemptEnd::Broken,
    attempts::AttemptEnd::Failed,
    attempts::AttemptEnd::Rejected,
    attempts::AttemptEnd::TimedOut,
];

fn context(budget: &retries::RetryBudget) -> retries::RetryContext<'_> {
    retries::RetryContext {
        rule: retries::RepeatRule::Repeatable,
        end: attempts::AttemptEnd::Lost,
        attempts: 1,
        delivered: sizes::TokenCount::new(0),
        can_resume: true,
        deadline: times::BootTime::from_millis(10_000),
        customer_budget: budget,
        node_budget: budget,
    }
}

fn decide(context: &retries::RetryContext<'_>) -> retries::RetryDecision {
    let now = times::BootTime::from_millis(1_000);
    retries::RetryPolicy::default().decide(context, now)
}

fn is_retry(context: &retries::RetryContext<'_>) -> bool {
    matches!(decide(context), retries::RetryDecision::Retry { .. })
}

#[test]
fn one_time_requests_are_retried_only_when_no_byte_was_sent() {
    let budget = retries::RetryBudget::new(0, 1_000);
    for end in ENDS {
        let case = retries::RetryContext {
            rule: retries::RepeatRule::OneTime,
            end,
            ..context(&budget)
        };
        assert_eq!(is_retry(&case), end == attempts::AttemptEnd::NotConnected);
    }
}

#[test]
fn not_repeatable_requests_are_retried_only_when_they_did_not_run() {
    let budget = retries::RetryBudget::new(0, 1_000);
    for end in ENDS {
        let case = retries::RetryContext {
            rule: retries::RepeatRule::NotRepeatable,
            end,
            ..context(&budget)
        };
        let not_run = end.outcome() == codes::RunOutcome::NotRun;
        assert_eq!(is_retry(&case), not_run);
    }
}

#[test]
fn repeatable_requests_are_retried_unless_a_retry_cannot_help() {
    let budget = retries::RetryBudget::new(0, 1_000);
    for end in ENDS {
        let case = retries::RetryContext {
            end,
            ..context(&budget)
        };
        let not_retried = [
            attempts::AttemptEnd::Rejected,
            attempts::AttemptEnd::TimedOut,
        ];
        assert_eq!(is_retry(&case), !not_retried.contains(&end));
    }
}

#[test]
fn a_retry_never_passes_the_deadline_or_the_attempt_limit() {
    let budget = retries::RetryBudget::new(0, 1_000);
    let late = retries::RetryContext {
        deadline: times::BootTime::from_millis(1_010),
        ..context(&budget)
    };
    let stop = retries::RetryDecision::Stop(codes::ResultCode::TargetLost);
    assert_eq!(decide(&late), stop);
    let many = retries::RetryContext {
        attempts: 3,
        ..context(&budget)
    };
    assert_eq!(decide(&many), stop);
}

#[test]
fn a_stream_resumes_where_it_broke_or_ends_in_an_error() {
    let budget = retries::RetryBudget::new(0, 1_000);
    let delivered = sizes::TokenCount::new(17);
    let broken = retries::RetryContext {
        end: attempts::AttemptEnd::Broken,
        delivered,
        ..context(&budget)
    };
    let expected = retries::RetryDecision::Retry {
        backoff: time::Duration::ZERO,
        resume_from: delivered,
    };
    assert_eq!(decide(&broken), expected);
    let unable = retries::RetryContext {
        can_resume: false,
        ..broken
    };
    let stop = retries::RetryDecision::Stop(codes::ResultCode::StreamBroken);
    assert_eq!(decide(&unable), stop);
}

#[test]
fn a_spent_budget_reports_not_run_only_when_true() {
    let customer = retries::RetryBudget::new(0, 5);
    let node = retries::RetryBudget::new(0, 0);
    for end in [attempts::AttemptEnd::NotStarted, attempts::AttemptEnd::Lost] {
        let case = retries::RetryContext {
            end,
            node_budget: &node,
            ..context(&customer)
        };
        let retries::RetryDecision::BudgetSpent(code) = decide(&case) else {
            panic!("retried without a budget");
        };
        assert_eq!(code.outcome(), end.outcome());
    }
    // The customer's budget was refunded each time.
    let left = (0..10).filter(|_| customer.take()).count();
    assert_eq!(left, 5);
}

#[test]
fn retries_stay_a_fraction_of_requests_over_threads() {
    let budget = sync::Arc::new(retries::RetryBudget::new(100, 10));
    let workers: Vec<_> = (0..4)
        .map(|_| {
            let budget = sync::Arc::clone(&budget);
            thread::spawn(move || {
                let mut taken = 0;
                for _ in 0..5_000 {
                    budget.record_request();
                    taken += u32::from(budget.take());
                }
                taken
            })
        })
        .collect();
    let taken: u32 = workers
        .into_iter()
        .map(|worker| worker.join().unwrap())
        .sum();
    assert!(taken <= 2_000 + 10, "{taken} retries for 20,000 requests");
    assert!(taken >= 1_900, "{taken} retries for 20,000 requests");
}
