//! Registrations survive outages of the store, and never replace a newer status that a target
//! reported itself.

use std::time;

use pier_fleet::targets;
use pier_types::{epochs, ids, sizes, times};

fn at(millis: u64) -> times::BootTime {
    times::BootTime::from_millis(millis)
}

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

fn generation(book: &targets::TargetBook) -> u64 {
    let place = book.records()[&vm()].entry.standing.membership.as_ref();
    place.map_or(0, |place| place.generation.get())
}

#[test]
fn a_removed_registration_ends_at_once_while_the_store_is_steady() {
    let mut book = targets::TargetBook::default();
    book.put(entry(1, 0, targets::GroupPhase::Ready), at(0));
    book.remove(&vm(), at(100));
    assert!(!book.records()[&vm()].stands(at(100)));
}

#[test]
fn one_that_lapsed_in_an_outage_is_given_two_seconds_to_come_back() {
    let mut book = targets::TargetBook::default();
    book.put(entry(1, 0, targets::GroupPhase::Ready), at(0));
    book.note_return(at(5_000));
    book.replace(Vec::new(), at(5_010));
    assert!(book.records()[&vm()].takes_work(at(7_000)));
    assert!(!book.records()[&vm()].takes_work(at(7_300)));
    book.put(entry(1, 0, targets::GroupPhase::Ready), at(7_400));
    assert!(book.records()[&vm()].takes_work(at(9_000)));
}

#[test]
fn a_member_without_a_registration_may_work_on_for_its_group_for_a_while() {
    let mut book = targets::TargetBook::default();
    book.put(entry(1, 3, targets::GroupPhase::Ready), at(0));
    book.remove(&vm(), at(100));
    assert!(!book.records()[&vm()].takes_work(at(200)));
    assert!(book.records()[&vm()].may_work(at(5_000)));
    assert!(!book.records()[&vm()].may_work(at(13_000)));
    assert!(book.expire(at(13_000)));
}

#[test]
fn a_registration_that_is_older_than_an_order_does_not_undo_it() {
    let mut book = targets::TargetBook::default();
    book.put(entry(1, 3, targets::GroupPhase::Ready), at(0));
    let mut joined = entry(1, 4, targets::GroupPhase::Joining).standing;
    joined.orders = 2;
    book.hear(&vm(), &joined, at(10));
    book.put(entry(1, 3, targets::GroupPhase::Ready), at(20));
    assert_eq!(generation(&book), 4);
    book.put(entry(1, 4, targets::GroupPhase::Ready), at(30));
    assert_eq!(book.records()[&vm()].entry.standing.orders, 2);
}

#[test]
fn an_answer_that_counts_fewer_orders_is_older_and_dropped() {
    let mut book = targets::TargetBook::default();
    book.put(entry(1, 3, targets::GroupPhase::Ready), at(0));
    let mut joined = entry(1, 4, targets::GroupPhase::Joining).standing;
    joined.orders = 2;
    book.hear(&vm(), &joined, at(10));
    let mut crossed = entry(1, 3, targets::GroupPhase::Ready).standing;
    crossed.orders = 1;
    book.hear(&vm(), &crossed, at(20));
    assert_eq!(generation(&book), 4);
    book.forget_orders(&vm());
    book.hear(&vm(), &crossed, at(30));
    assert_eq!(generation(&book), 3);
}

#[test]
fn another_start_under_the_same_id_voids_all_that_was_known() {
    let mut book = targets::TargetBook::default();
    let mut known = entry(1, 9, targets::GroupPhase::Open);
    known.standing.orders = 7;
    book.put(known, at(0));
    book.put(entry(2, 0, targets::GroupPhase::Ready), at(10));
    let standing = &book.records()[&vm()].entry.standing;
    assert_eq!((standing.orders, &standing.membership), (0, &None));
}

#[test]
fn a_repeated_reading_does_not_make_a_target_colder() {
    let mut book = targets::TargetBook::default();
    book.put(entry(1, 0, targets::GroupPhase::Ready), at(0));
    book.put(entry(1, 0, targets::GroupPhase::Ready), at(2_500));
    assert!(book.records()[&vm()].is_cold(at(2_900)));
    assert!(!book.records()[&vm()].is_cold(at(3_100)));
}

#[test]
fn the_answer_of_another_vm_at_the_address_is_not_the_registered_ones() {
    let mut book = targets::TargetBook::default();
    book.put(entry(5, 3, targets::GroupPhase::Joining), at(0));
    for born in [4, 6] {
        let other = entry(born, 3, targets::GroupPhase::Ready).standing;
        assert!(!book.hear(&vm(), &other, at(10)));
        let place = book.records()[&vm()].entry.standing.membership.as_ref();
        assert_eq!(place.unwrap().phase, targets::GroupPhase::Joining);
    }
    let own = entry(5, 3, targets::GroupPhase::Ready).standing;
    assert!(book.hear(&vm(), &own, at(20)));
}
