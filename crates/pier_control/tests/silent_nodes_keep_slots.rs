//! A silent node keeps its slot in the roster until it can no longer be using the slot.

use std::{collections, net, time};

use pier_control::leases;
use pier_types::{ids, times};

const RETENTION: time::Duration = time::Duration::from_hours(1);

fn names(list: &[&str]) -> collections::BTreeSet<ids::NodeName> {
    list.iter().map(|name| name.parse().unwrap()).collect()
}

fn at(seconds: u64) -> times::BootTime {
    times::BootTime::from_millis(seconds * 1_000)
}

fn addresses(list: &[(&str, u16)]) -> collections::BTreeMap<ids::NodeName, net::SocketAddr> {
    let address = |port: u16| net::SocketAddr::from(([10, 0, 0, 1], port));
    let entries = list.iter();
    entries
        .map(|(name, port)| (name.parse().unwrap(), address(*port)))
        .collect()
}

#[test]
fn silent_node_keeps_its_slot_for_the_retention() {
    let mut tracker = leases::RosterTracker::new(RETENTION);
    let recorded = names(&["n1", "n2"]);
    tracker.retained(&recorded, &recorded, &names(&[]), at(0));
    let retained = tracker.retained(&names(&["n1"]), &recorded, &names(&[]), at(3_600));
    assert_eq!(retained, recorded);
    let retained = tracker.retained(&names(&["n1"]), &recorded, &names(&[]), at(3_601));
    assert_eq!(retained, names(&["n1"]));
}

#[test]
fn new_holder_counts_recorded_nodes_as_heard_of_now() {
    let mut tracker = leases::RosterTracker::new(RETENTION);
    let recorded = names(&["n1", "n2"]);
    let retained = tracker.retained(&names(&["n1"]), &recorded, &names(&[]), at(9_000));
    assert_eq!(retained, recorded);
}

#[test]
fn node_that_says_that_it_stops_frees_its_slot_at_once() {
    let mut tracker = leases::RosterTracker::new(RETENTION);
    let recorded = names(&["n1", "n2"]);
    let retained = tracker.retained(&names(&["n1"]), &recorded, &names(&["n2"]), at(0));
    assert_eq!(retained, names(&["n1"]));
}

#[test]
fn slot_of_a_silent_node_goes_to_no_other() {
    let mut tracker = leases::RosterTracker::new(RETENTION);
    let roster = leases::NodeRoster::default().updated(&names(&["n1", "n2"]));
    let recorded = roster.slots.values().cloned().collect();
    let retained = tracker.retained(&names(&["n1", "n3"]), &recorded, &names(&[]), at(0));
    let roster = roster.updated(&retained);
    assert_eq!(roster.slots[&1].as_str(), "n2");
    assert_eq!(roster.slots[&2].as_str(), "n3");
}

#[test]
fn node_whose_address_another_one_took_is_replaced_after_a_minute() {
    let mut tracker = leases::RosterTracker::new(RETENTION);
    let recorded = addresses(&[("n1", 1), ("n2", 2), ("n3", 3)]);
    let live = addresses(&[("n1", 1), ("n4", 2)]);
    let nodes = names(&["n1", "n2", "n3"]);
    tracker.retained(&names(&["n1", "n2", "n4"]), &nodes, &names(&[]), at(0));
    assert!(tracker.replaced(&live, &recorded, at(59)).is_empty());
    assert_eq!(tracker.replaced(&live, &recorded, at(60)), names(&["n2"]));
}

#[test]
fn live_node_is_not_replaced_by_one_that_is_thought_to_share_its_address() {
    let mut tracker = leases::RosterTracker::new(RETENTION);
    let recorded = addresses(&[("n2", 2)]);
    let live = addresses(&[("n2", 2), ("n4", 2)]);
    tracker.retained(&names(&["n4"]), &names(&["n2"]), &names(&[]), at(0));
    assert!(tracker.replaced(&live, &recorded, at(3_000)).is_empty());
}

#[test]
fn roster_remembers_addresses_of_its_nodes_alone() {
    let roster = leases::NodeRoster::default().updated(&names(&["n1", "n2"]));
    let roster = roster.with_addresses(&addresses(&[("n1", 1), ("n2", 2), ("n9", 9)]));
    assert_eq!(roster.addresses, addresses(&[("n1", 1), ("n2", 2)]));
    let roster = roster.updated(&names(&["n2", "n3"]));
    let roster = roster.with_addresses(&addresses(&[("n3", 3)]));
    assert_eq!(roster.addresses, addresses(&[("n2", 2), ("n3", 3)]));
}
