//! A node finds out from its own contacts that it reaches no target of a service.

use std::time;

use pier_fleet::reach;
use pier_types::{ids, times};

const TARGETS: usize = 8;

fn at(millis: u64) -> times::BootTime {
    times::BootTime::from_micros(1_000_000 + millis * 1_000)
}

fn service(name: &str) -> ids::ServiceName {
    name.parse().unwrap()
}

fn vm(number: u32) -> ids::VmName {
    format!("t{number}").parse().unwrap()
}

/// Guards against a node that goes on trying targets although it reaches none.
#[test]
fn failed_contacts_with_three_targets_show_a_cut() {
    let mut tracker = reach::ReachTracker::default();
    let engines = service("engines");
    assert!(!tracker.record_failure(&engines, &vm(0), TARGETS, at(0)));
    assert!(!tracker.record_failure(&engines, &vm(0), TARGETS, at(50)));
    assert!(!tracker.record_failure(&engines, &vm(1), TARGETS, at(100)));
    assert!(!tracker.is_cut_off(&engines));
    assert!(tracker.record_failure(&engines, &vm(2), TARGETS, at(150)));
    assert!(tracker.is_cut_off(&engines));
    assert!(!tracker.record_failure(&engines, &vm(3), TARGETS, at(200)));
    assert_eq!(tracker.cut_off_services(), [engines]);
}

/// Guards against a service of few targets that never counts as cut off.
#[test]
fn a_service_with_fewer_targets_is_cut_off_when_all_fail() {
    let mut tracker = reach::ReachTracker::default();
    let plain = service("plain");
    assert!(!tracker.record_failure(&plain, &vm(0), 2, at(0)));
    assert!(tracker.record_failure(&plain, &vm(1), 2, at(10)));
}

/// Guards against single lost targets that add up to a cut over time, or beside answers of others.
#[test]
fn answers_and_time_clear_failed_contacts() {
    let mut tracker = reach::ReachTracker::default();
    let engines = service("engines");
    tracker.record_failure(&engines, &vm(0), TARGETS, at(0));
    tracker.record_failure(&engines, &vm(1), TARGETS, at(10));
    assert!(!tracker.record_success(&engines, at(20)));
    assert!(!tracker.record_failure(&engines, &vm(2), TARGETS, at(30)));
    assert!(!tracker.record_failure(&engines, &vm(3), TARGETS, at(2_100)));
    assert!(!tracker.record_failure(&engines, &vm(4), TARGETS, at(4_200)));
}

/// Guards against each service finding out by itself, and against a node that takes the end of a
/// cut for certain.
#[test]
fn one_failure_is_enough_beside_or_shortly_after_a_cut() {
    let mut tracker = reach::ReachTracker::default();
    let (engines, plain) = (service("engines"), service("plain"));
    for number in 0..3 {
        tracker.record_failure(&engines, &vm(number), TARGETS, at(0));
    }
    assert!(tracker.record_failure(&plain, &vm(9), TARGETS, at(10)));
    assert!(tracker.record_success(&plain, at(20)));
    assert!(tracker.record_success(&engines, at(20)));
    assert!(tracker.record_failure(&engines, &vm(0), TARGETS, at(500)));
    assert!(tracker.record_success(&engines, at(600)));
    assert!(!tracker.record_failure(&engines, &vm(0), TARGETS, at(3_000)));
}

/// Guards against a node that gives up its duties while it reaches some service, or at once.
#[test]
fn a_node_is_isolated_after_all_services_were_cut_off_for_a_while() {
    let mut tracker = reach::ReachTracker::default();
    let services = [service("engines"), service("plain")];
    let second = time::Duration::from_secs(1);
    assert!(!tracker.is_isolated([].iter(), second, at(5_000)));
    for number in 0..3 {
        tracker.record_failure(&services[0], &vm(number), TARGETS, at(0));
    }
    assert!(!tracker.is_isolated(services.iter(), second, at(1_500)));
    tracker.record_failure(&services[1], &vm(9), TARGETS, at(600));
    assert!(!tracker.is_isolated(services.iter(), second, at(1_500)));
    assert!(tracker.is_isolated(services.iter(), second, at(1_600)));
    tracker.record_success(&services[1], at(1_700));
    assert!(!tracker.is_isolated(services.iter(), second, at(1_800)));
}
