//! Prices a target for a plain request.

use std::time;

use crate::{dispatch, locality};

/// What the bytes of a plain request and its answer are worth: traffic costs money.
const BYTES_PENALTY: time::Duration = time::Duration::from_millis(4);

/// Answer times below which an earlier answer is no gain. A target with a free slot scores less
/// than two, so that free slots of the own data centre are used first.
const FLOOR_ANSWERS: u32 = 2;

/// Returns the price of a plain target.
pub fn price_plain(load: &dispatch::LoadFacts) -> locality::RemotePrice {
    if load.is_local {
        return locality::RemotePrice::NONE;
    }
    if !load.centre.is_usable() {
        return locality::RemotePrice::CLOSED;
    }
    // As many requests arrive there in an answer's time as are in flight, each for one slot.
    let slots = load.slots.max(1);
    let in_flight = load.centre.assumed_in_flight(load.in_flight(), slots);
    let excess_age = load.centre.load_age.saturating_sub(load.answer_time);
    let others = excess_age.mul_f64(in_flight / f64::from(slots));
    locality::RemotePrice {
        floor: load.answer_time * FLOOR_ANSWERS,
        penalty: load.centre.distance + BYTES_PENALTY + others,
    }
}
