//! Admission by urgency, at groups that serve by their published times.

mod support;

use std::time;

use pier_fleet::{dispatch, urgency};
use support::{
    engine,
    simulated_fleet::{FleetShape, KindResult, NodeView, RequestKind, SimulatedFleet, at},
    simulated_group::SimulatedGroup,
};

const GROUPS: usize = 4;
const NODES: usize = 8;

const URGENT: RequestKind = RequestKind {
    rank: 0,
    prompt: 714,
    answer_tokens: 150,
    objective_ms: 250,
    rates: (52.0, 52.0),
    repeats: 0,
};

const DEFERRED: RequestKind = RequestKind {
    rank: 2,
    prompt: 2_000,
    answer_tokens: 150,
    objective_ms: 800,
    rates: (4.0, 4.0),
    repeats: 0,
};

const FRESH: NodeView = NodeView {
    age_ms: 100,
    loses_reports: false,
};

/// Runs an urgent kind beside a deferred one.
fn run(urgent: RequestKind, deferred: RequestKind, view: NodeView) -> (KindResult, KindResult) {
    let shape = FleetShape {
        engine: engine(),
        groups: GROUPS,
        nodes: NODES,
    };
    let results = SimulatedFleet::run(&shape, &[urgent, deferred], view);
    (results[0], results[1])
}

#[test]
fn a_burst_of_the_least_urgent_kind_leaves_room_for_the_urgent() {
    let mut deferred = DEFERRED;
    deferred.rates.1 = 60.0;
    let (urgent, deferred) = run(URGENT, deferred, FRESH);
    assert!(urgent.share() >= 0.95, "{urgent:?}");
    assert!(urgent.share() >= deferred.share(), "{deferred:?}");
}

#[test]
fn below_capacity_nobody_is_refused() {
    let (mut urgent, mut deferred) = (URGENT, DEFERRED);
    (urgent.rates, deferred.rates) = ((36.0, 36.0), (5.0, 5.0));
    let (urgent, deferred) = run(urgent, deferred, FRESH);
    assert_eq!((urgent.refused, deferred.refused), (0, 0));
}

#[test]
fn under_sustained_overload_the_less_urgent_are_served_less_and_do_not_starve() {
    let (mut urgent, mut deferred) = (URGENT, DEFERRED);
    (urgent.rates, deferred.rates) = ((72.0, 72.0), (12.0, 12.0));
    let (urgent, deferred) = run(urgent, deferred, FRESH);
    assert!(
        urgent.share() >= deferred.share(),
        "{urgent:?} {deferred:?}"
    );
    assert!(deferred.share() >= urgent.share() / 2.0, "{deferred:?}");
}

#[test]
fn a_view_half_a_second_old_does_not_put_the_urgent_last() {
    let (mut urgent, mut deferred) = (URGENT, DEFERRED);
    (urgent.rates, deferred.rates) = ((60.0, 80.0), (10.0, 20.0));
    let view = NodeView {
        age_ms: 500,
        loses_reports: false,
    };
    let (urgent, deferred) = run(urgent, deferred, view);
    assert!(
        urgent.share() >= deferred.share(),
        "{urgent:?} {deferred:?}"
    );
}

#[test]
fn while_half_of_the_reports_are_lost_the_urgent_are_not_last() {
    let (mut urgent, mut deferred) = (URGENT, DEFERRED);
    (urgent.rates, deferred.rates) = ((60.0, 80.0), (10.0, 20.0));
    let view = NodeView {
        age_ms: 100,
        loses_reports: true,
    };
    let (urgent, deferred) = run(urgent, deferred, view);
    assert!(
        urgent.share() >= deferred.share(),
        "{urgent:?} {deferred:?}"
    );
}

#[test]
fn callers_that_repeat_three_times_at_once_do_not_pass_the_urgent() {
    let mut deferred = DEFERRED;
    (deferred.rates, deferred.repeats) = ((12.0, 24.0), 3);
    let mut urgent = URGENT;
    urgent.rates.1 = 65.0;
    let (urgent, deferred) = run(urgent, deferred, FRESH);
    assert!(
        urgent.share() >= deferred.share(),
        "{urgent:?} {deferred:?}"
    );
}

#[test]
fn large_deferred_prompts_leave_room_for_small_urgent_ones() {
    let mut deferred = DEFERRED;
    (deferred.prompt, deferred.rates, deferred.answer_tokens) = (12_000, (8.0, 20.0), 25);
    let (urgent, deferred) = run(URGENT, deferred, FRESH);
    assert!(urgent.share() >= 0.9, "{urgent:?}");
    assert!(urgent.share() >= deferred.share(), "{deferred:?}");
}

#[test]
fn requests_of_one_rank_are_judged_by_the_whole_load() {
    let load = SimulatedGroup::default().load(26);
    let load = dispatch::LoadFacts {
        running: 26,
        waiting: 6,
        waiting_prompt: 6_000,
        ..load
    };
    let mut record = urgency::DemandRecord::default();
    let objective = time::Duration::from_millis(250);
    record.record_arrival(urgency::UrgencyClass::Urgent, 700, objective, at(0));
    let mut request = dispatch::RequestFacts {
        prompt: 700,
        objective,
        time_left: time::Duration::from_secs(6),
        rank: 0,
        is_resumed: false,
        view_age: time::Duration::ZERO,
        displaced: 0,
        demand: record.view(at(0)),
        draw: 7,
    };
    let choose = |request: &dispatch::RequestFacts| {
        let none = time::Duration::ZERO;
        dispatch::choose_stream(&engine(), 1.0, none, request, &[load])
    };
    assert!(matches!(
        choose(&request),
        dispatch::ChoiceOutcome::Full { .. }
    ));
    // With other ranks about, loads of unknown urgency are less urgent than rank 0.
    record.record_arrival(urgency::UrgencyClass::Deferred, 700, objective, at(0));
    request.demand = record.view(at(0));
    assert!(matches!(
        choose(&request),
        dispatch::ChoiceOutcome::Send { .. }
    ));
}
