//! Admission while demand rises, on views of the load that are some time old.

mod support;

use pier_fleet::documents;
use pier_types::sizes;
use support::{
    engine,
    simulated_fleet::{
        CALLING_TIME, FleetShape, KindResult, NodeView, RequestKind, SimulatedFleet,
    },
};

/// Ages of the nodes' views in milliseconds.
const VIEW_AGES: [u32; 4] = [80, 100, 200, 500];

/// Requests a second that the groups of [`shape`] end with all places taken, about.
const CAPACITY: f64 = 80.0;

/// Eight groups of 20 places, and so many nodes that each sends a small part of the requests.
fn shape() -> FleetShape {
    FleetShape {
        engine: documents::EngineSpec {
            batch: sizes::RequestCount::new(20),
            step_ms: 7.8,
            request_ms: 0.0947,
            context_ms: 0.0096,
            prefill_tokens_per_ms: 45.9,
            mean_prompt_tokens: 900.0,
            mean_answer_tokens: 150.0,
            ..engine()
        },
        groups: 8,
        nodes: 100,
    }
}

const fn kind(
    prompt: u64,
    objective_ms: u64,
    answer_tokens: u32,
    rates: (f64, f64),
) -> RequestKind {
    RequestKind {
        rank: 1,
        prompt,
        answer_tokens,
        objective_ms,
        rates,
        repeats: 0,
    }
}

/// Lets demand double from one step to the next, and returns the callers of all kinds.
fn run(age_ms: u32, calm: f64) -> KindResult {
    let crest = 2.0 * calm;
    let kinds = [
        kind(714, 300, 168, (calm * 0.7, crest * 0.7)),
        kind(1_460, 500, 168, (calm * 0.15, crest * 0.15)),
        kind(2_000, 500, 25, (calm * 0.15, crest * 0.15)),
    ];
    let view = NodeView {
        age_ms,
        loses_reports: false,
    };
    let results = SimulatedFleet::run(&shape(), &kinds, view);
    let mut sum = KindResult::default();
    for result in results {
        sum.callers += result.callers;
        sum.in_time += result.in_time;
        sum.refused += result.refused;
    }
    sum
}

// Guards against groups that all nodes fill at once, as each sees the same free places and none of the
// others' requests.
#[test]
fn of_the_callers_admitted_at_twice_the_capacity_nine_in_ten_are_in_time() {
    for age_ms in VIEW_AGES {
        let result = run(age_ms, CAPACITY);
        let admitted = result.callers - result.refused;
        let share = f64::from(result.in_time) / f64::from(admitted);
        assert!(share >= 0.9, "{share} at {age_ms} ms: {result:?}");
        let possible = CAPACITY * CALLING_TIME.as_secs_f64();
        assert!(
            f64::from(result.in_time) >= 0.75 * possible,
            "at {age_ms} ms: {result:?}"
        );
    }
}

#[test]
fn a_rise_to_half_of_the_places_refuses_nobody() {
    for age_ms in VIEW_AGES {
        let result = run(age_ms, CAPACITY / 4.0);
        assert_eq!(result.refused, 0, "at {age_ms} ms: {result:?}");
        assert_eq!(result.in_time, result.callers, "at {age_ms} ms");
    }
}
