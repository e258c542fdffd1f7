//! Checks that the fixed shares of all slots never add up to more than the fixed part, even if
//! nodes have seen different versions of the lease record or number of slots.

use std::{collections, time};

use pier_limits::shares;
use pier_types::{ids, sizes, times};
use pier_wire::messages;

const SETTLE: time::Duration = time::Duration::from_secs(10);
const START: times::BootTime = times::BootTime::from_millis(60_000);

fn key(number: u64) -> messages::ShareKey {
    let target = ids::TargetId::Vm("vm-1".parse().unwrap());
    messages::ShareKey::of(&target, number)
}

fn sum(split: &shares::StaticSplit, slots: u32, fixed: u32, now: times::BootTime) -> u32 {
    let fixed = sizes::RequestCount::new(fixed);
    (0..slots)
        .map(|slot| split.share(key(3), slot, fixed, now).get())
        .sum()
}

#[test]
fn the_shares_of_all_slots_are_the_fixed_part() {
    for slots in 1..50 {
        let split = shares::StaticSplit::new(slots, SETTLE);
        for fixed in 0..60 {
            assert_eq!(sum(&split, slots, fixed, START), fixed);
        }
    }
}

#[test]
fn a_share_never_falls_when_the_limit_rises() {
    let split = shares::StaticSplit::new(45, SETTLE);
    for slot in 0..45 {
        let mut last = 0;
        for fixed in 0..200 {
            let share = split.share(key(1), slot, sizes::RequestCount::new(fixed), START);
            assert!(share.get() >= last);
            last = share.get();
        }
    }
}

#[test]
fn a_fixed_part_of_one_goes_to_different_slots_by_target() {
    let split = shares::StaticSplit::new(6, SETTLE);
    let one = sizes::RequestCount::new(1);
    let chosen = (0..60)
        .map(|number| (0..6).find(|&slot| split.share(key(number), slot, one, START).get() == 1))
        .collect::<collections::BTreeSet<_>>();
    assert_eq!(chosen.len(), 6, "each slot is chosen for some target");
}

#[test]
fn nodes_that_learn_of_a_new_slot_count_at_different_times_stay_within_the_fixed_part() {
    for (before, after) in [(6, 9), (9, 6), (6, 45), (5, 1)] {
        let old = shares::StaticSplit::new(before, SETTLE);
        let mut new = old.clone();
        new.resize(after, START);
        for informed in 0..=before.max(after) {
            for fixed in 0..40 {
                let amount = sizes::RequestCount::new(fixed);
                let total = (0..before.max(after))
                    .map(|slot| {
                        if slot < informed { &new } else { &old }.share(key(1), slot, amount, START)
                    })
                    .map(sizes::RequestCount::get)
                    .sum::<u32>();
                assert!(total <= fixed, "{before} to {after}: {total} over {fixed}");
            }
        }
        assert_eq!(sum(&new, after, 40, START.after(SETTLE)), 40);
    }
}

fn record(entries: &[(u32, &str)]) -> collections::BTreeMap<u32, ids::NodeName> {
    let parse = |(slot, name): &(u32, &str)| (*slot, name.parse().unwrap());
    entries.iter().map(parse).collect()
}

fn settled_ownership() -> (shares::SlotOwnership, times::BootTime) {
    let mut ownership = shares::SlotOwnership::new("n1".parse().unwrap(), SETTLE);
    let mut now = START;
    ownership.observe(&record(&[(2, "n1"), (3, "n2")]), now, now);
    for _ in 0..11 {
        now = now.after(time::Duration::from_secs(1));
        assert!(!ownership.tick(now));
    }
    assert_eq!(ownership.slot(now), Some(2));
    (ownership, now)
}

#[test]
fn a_new_node_waits_until_the_work_of_the_one_before_has_ended() {
    let mut ownership = shares::SlotOwnership::new("n1".parse().unwrap(), SETTLE);
    ownership.tick(START);
    ownership.observe(&record(&[(2, "n1")]), START, START);
    assert_eq!(ownership.slot(START), None);
}

#[test]
fn a_node_that_lost_its_slot_stops_at_once() {
    let (mut ownership, now) = settled_ownership();
    ownership.observe(&record(&[(2, "n9")]), now, now);
    assert_eq!(ownership.slot(now), None);
}

#[test]
fn a_paused_node_drops_its_slot_until_it_has_read_the_record_again() {
    let (mut ownership, now) = settled_ownership();
    let resumed = now.after(time::Duration::from_mins(5));
    assert_eq!(
        ownership.slot(resumed),
        None,
        "also before the first tick after the pause"
    );
    assert!(ownership.tick(resumed));
    assert_eq!(ownership.slot(resumed), None);
    let slots = record(&[(2, "n1")]);
    ownership.observe(&slots, now, resumed);
    assert_eq!(
        ownership.slot(resumed),
        None,
        "a read that was sent before the pause proves nothing"
    );
    ownership.observe(&slots, resumed, resumed);
    assert_eq!(ownership.slot(resumed), Some(2));
}

#[test]
fn a_cut_off_node_keeps_its_slot() {
    let (mut ownership, mut now) = settled_ownership();
    for _ in 0..1_000 {
        now = now.after(time::Duration::from_secs(1));
        ownership.tick(now);
    }
    assert_eq!(ownership.slot(now), Some(2));
}
