//! How often the nodes of a large fleet call a store that is away, and how soon they notice that it
//! answers again.

use std::time;

use pier_fleet::stewards;

const OUTAGE: time::Duration = time::Duration::from_secs(8);

/// Loops of a node that read the store.
const LOOPS: usize = 4;

const DRAWS: [f64; 3] = [0.0, 0.5, 1.0];

const FOLLOWER: stewards::OutageFacts = stewards::OutageFacts {
    failures: 1,
    role: stewards::ReaderRole::Follower,
    is_probe: true,
    is_probe_failing: true,
};

/// Returns the times of one loop's calls in an outage, from its first failed call on.
fn calls(facts: stewards::OutageFacts, draw: f64) -> Vec<time::Duration> {
    let (mut at, mut failures) = (time::Duration::ZERO, 0);
    let mut calls = Vec::new();
    while at < OUTAGE {
        calls.push(at);
        failures += 1;
        at += match stewards::outage_step(stewards::OutageFacts { failures, ..facts }, draw) {
            stewards::OutageStep::Retry(delay) => delay,
            stewards::OutageStep::AwaitReturn(limit) => limit,
        };
    }
    calls
}

/// Returns the greatest time from one call to the next.
fn longest_pause(calls: &[time::Duration]) -> time::Duration {
    let pauses = calls.windows(2).map(|pair| pair[1].saturating_sub(pair[0]));
    pauses.max().unwrap_or(OUTAGE)
}

// Guards against an outage in which each loop of each node goes on calling the store.
#[test]
fn a_follower_calls_the_store_now_and_then_and_with_one_loop_only() {
    for draw in DRAWS {
        let probe = calls(FOLLOWER, draw).len();
        let other = stewards::OutageFacts {
            is_probe: false,
            ..FOLLOWER
        };
        let others = (LOOPS - 1) * calls(other, draw).len();
        assert!(probe <= 7, "{probe} calls of the probe");
        assert_eq!(others, LOOPS - 1, "one call of each other loop");
    }
}

#[test]
fn stewards_and_those_who_replace_them_notice_the_return_within_a_second() {
    let roles = [
        (stewards::ReaderRole::Steward, 400),
        (stewards::ReaderRole::FirstReader, 1_000),
    ];
    for (role, longest) in roles {
        let facts = stewards::OutageFacts { role, ..FOLLOWER };
        for draw in DRAWS {
            let pause = longest_pause(&calls(facts, draw));
            assert!(pause <= time::Duration::from_millis(longest), "{pause:?}");
        }
    }
}

// Guards against a node that waits for a steward which has ended in the same moment.
#[test]
fn a_node_that_hears_no_steward_notices_the_return_within_two_seconds() {
    let lone = stewards::OutageFacts {
        role: stewards::ReaderRole::Lone,
        ..FOLLOWER
    };
    for draw in DRAWS {
        let pause = longest_pause(&calls(lone, draw));
        assert!(pause <= time::Duration::from_secs(2), "{pause:?}");
    }
}

// Guards against a loop that waits for the end of an outage which only its own connection has.
#[test]
fn a_loop_whose_calls_alone_fail_goes_on_calling() {
    for role in [
        stewards::ReaderRole::FirstReader,
        stewards::ReaderRole::Follower,
    ] {
        let facts = stewards::OutageFacts {
            is_probe: false,
            is_probe_failing: false,
            role,
            ..FOLLOWER
        };
        let pause = longest_pause(&calls(facts, 1.0));
        assert!(pause <= time::Duration::from_millis(2_500), "{pause:?}");
    }
}
