//! Proves what is repeated, within which budget, and never past the deadline.

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

fn question(budget: &retries::RetryBudget) -> retries::RetryQuestion<'_> {
    retries::RetryQuestion {
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

fn decide(question: &retries::RetryQuestion<'_>) -> retries::RetryDecision {
    let now = times::BootTime::from_millis(1_000);
    retries::RetryPolicy::default().decide(question, now)
}

fn is_retry(question: &retries::RetryQuestion<'_>) -> bool {
    matches!(decide(question), retries::RetryDecision::Retry { .. })
}

#[test]
fn one_time_requests_are_repeated_only_before_any_byte_left() {
    let budget = retries::RetryBudget::new(0, 1_000);
    for end in ENDS {
        let asked = retries::RetryQuestion {
            rule: retries::RepeatRule::OneTime,
            end,
            ..question(&budget)
        };
        assert_eq!(is_retry(&asked), end == attempts::AttemptEnd::NotConnected);
    }
}

#[test]
fn requests_that_may_not_be_repeated_follow_only_a_certain_not_run() {
    let budget = retries::RetryBudget::new(0, 1_000);
    for end in ENDS {
        let asked = retries::RetryQuestion {
            rule: retries::RepeatRule::NotRepeatable,
            end,
            ..question(&budget)
        };
        let not_run = end.outcome() == codes::RunOutcome::NotRun;
        assert_eq!(is_retry(&asked), not_run);
    }
}

#[test]
fn repeatable_requests_are_repeated_unless_that_can_not_help() {
    let budget = retries::RetryBudget::new(0, 1_000);
    for end in ENDS {
        let asked = retries::RetryQuestion {
            end,
            ..question(&budget)
        };
        let hopeless = [
            attempts::AttemptEnd::Rejected,
            attempts::AttemptEnd::TimedOut,
        ];
        assert_eq!(is_retry(&asked), !hopeless.contains(&end));
    }
}

#[test]
fn a_retry_never_passes_the_deadline_or_the_attempt_limit() {
    let budget = retries::RetryBudget::new(0, 1_000);
    let late = retries::RetryQuestion {
        deadline: times::BootTime::from_millis(1_010),
        ..question(&budget)
    };
    let stop = retries::RetryDecision::Stop(codes::ResultCode::TargetLost);
    assert_eq!(decide(&late), stop);
    let many = retries::RetryQuestion {
        attempts: 3,
        ..question(&budget)
    };
    assert_eq!(decide(&many), stop);
}

#[test]
fn a_stream_resumes_where_it_broke_or_ends_in_an_error() {
    let budget = retries::RetryBudget::new(0, 1_000);
    let delivered = sizes::TokenCount::new(17);
    let broken = retries::RetryQuestion {
        end: attempts::AttemptEnd::Broken,
        delivered,
        ..question(&budget)
    };
    let expected = retries::RetryDecision::Retry {
        pause: time::Duration::ZERO,
        resume_from: delivered,
    };
    assert_eq!(decide(&broken), expected);
    let unable = retries::RetryQuestion {
        can_resume: false,
        ..broken
    };
    let stop = retries::RetryDecision::Stop(codes::ResultCode::StreamBroken);
    assert_eq!(decide(&unable), stop);
}

#[test]
fn a_spent_budget_says_not_run_only_when_that_is_true() {
    let customer = retries::RetryBudget::new(0, 5);
    let node = retries::RetryBudget::new(0, 0);
    for end in [attempts::AttemptEnd::NotStarted, attempts::AttemptEnd::Lost] {
        let asked = retries::RetryQuestion {
            end,
            node_budget: &node,
            ..question(&customer)
        };
        let retries::RetryDecision::BudgetSpent(code) = decide(&asked) else {
            panic!("retried without a budget");
        };
        assert_eq!(code.outcome(), end.outcome());
    }
    // The customer's budget was given back each time.
    let left = (0..10).filter(|_| customer.take()).count();
    assert_eq!(left, 5);
}

#[test]
fn retries_stay_a_fraction_of_fresh_work_over_threads() {
    let budget = sync::Arc::new(retries::RetryBudget::new(100, 10));
    let workers: Vec<_> = (0..4)
        .map(|_| {
            let budget = sync::Arc::clone(&budget);
            thread::spawn(move || {
                let mut taken = 0;
                for _ in 0..5_000 {
                    budget.add_fresh();
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
