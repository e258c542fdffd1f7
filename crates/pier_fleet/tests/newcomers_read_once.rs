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
