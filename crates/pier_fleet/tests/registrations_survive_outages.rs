//! Registrations survive outages of the store, and never replace a newer status that a target
//! reported itself.

use std::time;

use pier_fleet::targets;
use pier_types::{epochs, ids, sizes, times};

fn at(millis: u64) -> times::BootTime {
    times::BootTime::from_millis(millis)
}

/// The version of the store at which registrations are read unless a test says otherwise.
const READ_AT: epochs::ObjectVersion = epochs::ObjectVersion::new(1);

fn vm() -> ids::VmName {
    "vm-1".parse().unwrap()
}

fn entry(born: u64, generation: u64, phase: targets::GroupPhase) -> targets::TargetEntry {
    targets::TargetEntry {
        vm: vm(),
        service: "engines".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "dc-a".parse().unwrap(),
        slots: sizes::RequestCount::new(4),
        is_draining: false,
        cold_left: time::Duration::from_secs(3),
        standing: targets::TargetStanding {
            born: epochs::VmIncarnation::new(born),
            membership: (generation > 0).then(|| targets::GroupMembership {
                group: "m0-d0-0".parse().unwrap(),
                generation: epochs::GroupGeneration::new(generation),
                rank: 0,
                phase,
            }),
            ..targets::TargetStanding::default()
        },
    }
}

fn generation(registry: &targets::TargetRegistry) -> u64 {
    let membership = registry.records()[&vm()].entry.standing.membership.as_ref();
    membership.map_or(0, |membership| membership.generation.get())
}

#[test]
fn a_removed_registration_ends_immediately_while_the_store_is_available() {
    let mut registry = targets::TargetRegistry::default();
    registry.put(entry(1, 0, targets::GroupPhase::Ready), READ_AT, at(0));
    registry.remove(&vm(), READ_AT, at(100));
    assert!(!registry.records()[&vm()].is_valid(at(100)));
}

#[test]
fn a_registration_lost_in_an_outage_has_two_seconds_to_reappear() {
    let mut registry = targets::TargetRegistry::default();
    registry.put(entry(1, 0, targets::GroupPhase::Ready), READ_AT, at(0));
    registry.note_store_return(at(5_000));
    registry.replace(Vec::new(), READ_AT, at(5_010));
    assert!(registry.records()[&vm()].accepts_requests(at(7_000)));
    assert!(!registry.records()[&vm()].accepts_requests(at(7_300)));
    registry.put(entry(1, 0, targets::GroupPhase::Ready), READ_AT, at(7_400));
    assert!(registry.records()[&vm()].accepts_requests(at(9_000)));
}

#[test]
fn an_unregistered_member_may_serve_its_group_for_a_while() {
    let mut registry = targets::TargetRegistry::default();
    registry.put(entry(1, 3, targets::GroupPhase::Ready), READ_AT, at(0));
    registry.remove(&vm(), READ_AT, at(100));
    assert!(!registry.records()[&vm()].accepts_requests(at(200)));
    assert!(registry.records()[&vm()].may_serve_group(at(5_000)));
    assert!(!registry.records()[&vm()].may_serve_group(at(13_000)));
    assert!(registry.expire(at(13_000)));
}

#[test]
fn a_registration_that_is_older_than_an_order_does_not_undo_it() {
    let mut registry = targets::TargetRegistry::default();
    registry.put(entry(1, 3, targets::GroupPhase::Ready), READ_AT, at(0));
    let mut joined = entry(1, 4, targets::GroupPhase::Joining).standing;
    joined.orders = 2;
    registry.apply_answer(&vm(), &joined, at(10));
    registry.put(entry(1, 3, targets::GroupPhase::Ready), READ_AT, at(20));
    assert_eq!(generation(&registry), 4);
    registry.put(entry(1, 4, targets::GroupPhase::Ready), READ_AT, at(30));
    assert_eq!(registry.records()[&vm()].entry.standing.orders, 2);
}

#[test]
fn an_answer_that_counts_fewer_orders_is_older_and_dropped() {
    let mut registry = targets::TargetRegistry::default();
    registry.put(entry(1, 3, targets::GroupPhase::Ready), READ_AT, at(0));
    let mut joined = entry(1, 4, targets::GroupPhase::Joining).standing;
    joined.orders = 2;
    registry.apply_answer(&vm(), &joined, at(10));
    let mut delayed = entry(1, 3, targets::GroupPhase::Ready).standing;
    delayed.orders = 1;
    registry.apply_answer(&vm(), &delayed, at(20));
    assert_eq!(generation(&registry), 4);
    registry.reset_orders(&vm());
    registry.apply_answer(&vm(), &delayed, at(30));
    assert_eq!(generation(&registry), 3);
}

#[test]
fn a_new_incarnation_replaces_all_known_state() {
    let mut registry = targets::TargetRegistry::default();
    let mut known = entry(1, 9, targets::GroupPhase::Open);
    known.standing.orders = 7;
    registry.put(known, READ_AT, at(0));
    registry.put(entry(2, 0, targets::GroupPhase::Ready), READ_AT, at(10));
    let standing = &registry.records()[&vm()].entry.standing;
    assert_eq!((standing.orders, &standing.membership), (0, &None));
}

#[test]
fn a_repeated_read_does_not_extend_the_cold_time() {
    let mut registry = targets::TargetRegistry::default();
    registry.put(entry(1, 0, targets::GroupPhase::Ready), READ_AT, at(0));
    registry.put(entry(1, 0, targets::GroupPhase::Ready), READ_AT, at(2_500));
    assert!(registry.records()[&vm()].is_cold(at(2_900)));
    assert!(!registry.records()[&vm()].is_cold(at(3_100)));
}

#[test]
fn an_answer_from_another_vm_at_the_address_is_ignored() {
    let mut registry = targets::TargetRegistry::default();
    registry.put(entry(5, 3, targets::GroupPhase::Joining), READ_AT, at(0));
    for born in [4, 6] {
        let other = entry(born, 3, targets::GroupPhase::Ready).standing;
        assert!(!registry.apply_answer(&vm(), &other, at(10)));
        let membership = registry.records()[&vm()].entry.standing.membership.as_ref();
        assert_eq!(membership.unwrap().phase, targets::GroupPhase::Joining);
    }
    let registered = entry(5, 3, targets::GroupPhase::Ready).standing;
    assert!(registry.apply_answer(&vm(), &registered, at(20)));
}

/// Guards against a table that keeps a missing registration until something else changes.
#[test]
fn the_end_of_the_time_to_reappear_is_a_change() {
    let mut registry = targets::TargetRegistry::default();
    registry.put(entry(1, 0, targets::GroupPhase::Ready), READ_AT, at(0));
    registry.note_store_return(at(5_000));
    registry.replace(Vec::new(), READ_AT, at(5_010));
    assert!(!registry.expire(at(7_000)));
    assert!(registry.expire(at(7_500)));
    assert!(!registry.expire(at(8_000)));
}

/// Guards against a registration of an older copy of the store that takes a notice of leaving back.
#[test]
fn a_notice_of_leaving_outlasts_a_copy_of_the_store() {
    let mut registry = targets::TargetRegistry::default();
    let mut leaving = entry(1, 0, targets::GroupPhase::Ready);
    leaving.is_draining = true;
    registry.put(leaving, READ_AT, at(0));
    registry.note_store_copy(at(5_050), at(50));
    registry.put(entry(1, 0, targets::GroupPhase::Ready), READ_AT, at(100));
    assert!(!registry.records()[&vm()].accepts_requests(at(100)));
    registry.put(entry(2, 0, targets::GroupPhase::Ready), READ_AT, at(200));
    assert!(registry.records()[&vm()].accepts_requests(at(200)));
}

/// Guards against a list that was read before a relayed change and arrives after it: it took marks of
/// leaving back, and put removed registrations into use again.
#[test]
fn an_older_list_does_not_replace_later_changes() {
    let (older, newer) = (epochs::ObjectVersion::new(4), epochs::ObjectVersion::new(5));
    let mut registry = targets::TargetRegistry::default();
    let listed = entry(1, 0, targets::GroupPhase::Ready);
    registry.put(listed.clone(), READ_AT, at(0));
    let mut leaving = listed.clone();
    leaving.is_draining = true;
    registry.put(leaving, newer, at(100));
    registry.replace(vec![listed.clone()], older, at(110));
    assert!(!registry.records()[&vm()].accepts_requests(at(120)));
    registry.remove(&vm(), newer, at(130));
    registry.put(listed.clone(), older, at(140));
    assert!(!registry.records()[&vm()].is_valid(at(150)));
    registry.put(listed, newer, at(160));
    registry.replace(Vec::new(), older, at(170));
    assert!(registry.records()[&vm()].accepts_requests(at(180)));
}
