//! Checks when a data centre that goes out of service gets its last new work, and how load
//! returns to it.

use std::time;

use pier_limits::shifts;
use pier_types::times;

const START: times::BootTime = times::BootTime::from_millis(100_000);
const WHOLE: shifts::ShiftWeight = shifts::ShiftWeight::WHOLE;

fn at(millis: u64) -> times::BootTime {
    START.after(time::Duration::from_millis(millis))
}

fn leaving() -> shifts::DataCentreShift {
    let mut shift = shifts::DataCentreShift::new(true, shifts::ShiftPolicy::default());
    shift.set_service(false, START);
    shift
}

#[test]
fn new_work_falls_to_zero_within_two_seconds_at_any_capacity() {
    let shift = leaving();
    let mut last = WHOLE;
    for millis in (0..2_000).step_by(100) {
        let weight = shift.weight(shifts::ShiftWeight::NONE, at(millis));
        assert!(weight <= last);
        last = weight;
    }
    for millis in [2_000, 2_001, 900_000] {
        let weight = shift.weight(WHOLE, at(millis));
        assert_eq!(weight, shifts::ShiftWeight::NONE);
        assert!((0..1_000).all(|fingerprint| !weight.includes(fingerprint)));
    }
}

#[test]
fn a_repeated_change_does_not_restart_the_shift() {
    let mut shift = leaving();
    for millis in (0..2_000).step_by(100) {
        shift.set_service(false, at(millis));
    }
    assert_eq!(shift.weight(WHOLE, at(2_000)), shifts::ShiftWeight::NONE);
}

#[test]
fn a_node_that_starts_while_it_is_out_sends_nothing_there() {
    let shift = shifts::DataCentreShift::new(false, shifts::ShiftPolicy::default());
    assert_eq!(
        shift.weight(WHOLE, times::BootTime::default()),
        shifts::ShiftWeight::NONE
    );
}

#[test]
fn return_never_runs_ahead_of_time_nor_of_warmth() {
    let mut shift = leaving();
    shift.set_service(true, at(60_000));
    let half = shifts::ShiftWeight::from_thousandths(500);
    assert_eq!(shift.weight(WHOLE, at(60_000)), shifts::ShiftWeight::NONE);
    assert_eq!(shift.weight(WHOLE, at(75_000)), half);
    assert_eq!(
        shift.weight(shifts::ShiftWeight::NONE, at(75_000)),
        shifts::ShiftWeight::NONE
    );
    assert_eq!(shift.weight(half, at(89_000)), half);
    assert_eq!(
        shift.weight(half, at(90_000)),
        WHOLE,
        "then the targets' own limits bind"
    );
}

#[test]
fn a_reversed_shift_continues_from_its_current_weight() {
    let mut shift = leaving();
    shift.set_service(true, at(1_000));
    assert_eq!(shift.weight(WHOLE, at(1_000)).get(), 500);
    shift.set_service(false, at(4_000));
    assert_eq!(shift.weight(WHOLE, at(4_000)).get(), 600);
    assert_eq!(shift.weight(WHOLE, at(6_000)), shifts::ShiftWeight::NONE);
}
