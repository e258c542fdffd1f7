//! What nodes that have just started read of the store themselves.

use std::time;

use pier_fleet::stewards;

const fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

/// A node of a large fleet that follows no steward, some time after it has read the nodes' records.
fn facts(nodes_read_for: u64) -> stewards::NewcomerFacts {
    stewards::NewcomerFacts {
        running_for: millis(nodes_read_for + 10),
        nodes_read_for: Some(millis(nodes_read_for)),
        is_large: true,
        is_first_start: false,
        is_read: false,
    }
}

fn reads(facts: &stewards::NewcomerFacts) -> bool {
    stewards::newcomer_step(facts) == stewards::NewcomerStep::Read
}

#[test]
fn a_node_waits_for_the_nodes_records() {
    let waiting = stewards::NewcomerFacts {
        nodes_read_for: None,
        ..facts(0)
    };
    assert!(!reads(&waiting));
}

#[test]
fn a_node_of_a_small_fleet_reads_at_once() {
    let small = stewards::NewcomerFacts {
        is_large: false,
        ..facts(0)
    };
    assert!(reads(&small));
}

// Guards against refusals for want of a document while all nodes wait for the next steward.
#[test]
fn a_node_without_any_sign_of_a_steward_reads_the_store_within_an_eighth_of_a_second() {
    assert!(!reads(&facts(20)));
    assert!(reads(&facts(125)));
}

// Guards against watches of all nodes beside one another until a steward is elected.
#[test]
fn a_node_that_has_read_the_store_once_leaves_it_to_the_next_steward() {
    let read = |nodes_read_for| stewards::NewcomerFacts {
        is_read: true,
        ..facts(nodes_read_for)
    };
    assert!(!reads(&read(125)));
    assert!(!reads(&read(1_000)));
    assert!(reads(&read(1_500)));
}

#[test]
fn nodes_of_a_fleet_that_starts_for_the_first_time_leave_the_reading_to_their_stewards() {
    let first = |nodes_read_for| stewards::NewcomerFacts {
        is_first_start: true,
        ..facts(nodes_read_for)
    };
    assert!(!reads(&first(125)));
    assert!(!reads(&first(1_000)));
    assert!(reads(&first(1_500)));
}

/// A node whose own record was written some time ago, and which has listed the nodes' records so often
/// since.
fn roster(written_for: u64, lists: u32) -> stewards::RosterFacts {
    stewards::RosterFacts {
        written_for: Some(millis(written_for)),
        is_own_read: false,
        lists,
        spread: 0.5,
    }
}

// Guards against nodes that start at once, or read old records, and never hear of each other.
#[test]
fn a_node_lists_the_nodes_again_until_it_has_read_its_own_record() {
    let lists = |written_for, lists| stewards::lists_nodes_again(&roster(written_for, lists));
    assert!(!lists(1_000, 0));
    assert!(lists(3_000, 0));
    assert!(!lists(3_000, 1));
    assert!(lists(7_000, 1));
    let read = stewards::RosterFacts {
        is_own_read: true,
        ..roster(3_000, 0)
    };
    assert!(!stewards::lists_nodes_again(&read));
}

// Guards against lists that show nothing, as others can't have read this node's record either.
#[test]
fn a_node_whose_own_record_is_not_written_lists_nothing_again() {
    let unwritten = stewards::RosterFacts {
        written_for: None,
        ..roster(0, 0)
    };
    assert!(!stewards::lists_nodes_again(&unwritten));
}

// Guards against calls that go on, and against calls of all nodes of a fleet in the same moment.
#[test]
fn further_lists_are_few_and_spread() {
    assert!(!stewards::lists_nodes_again(&roster(3_600_000, 2)));
    let first_at = |spread| {
        let facts = |written_for| stewards::RosterFacts {
            spread,
            ..roster(written_for, 0)
        };
        (0..10_000_u64).find(|written_for| stewards::lists_nodes_again(&facts(*written_for)))
    };
    assert_eq!((first_at(0.0), first_at(1.0)), (Some(1_500), Some(3_000)));
}
