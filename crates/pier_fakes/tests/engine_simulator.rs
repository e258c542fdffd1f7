//! Admission, warming, loading and cache events of the simulated engine, on simulated time.

use std::time;

use pier_fakes::engine;
use pier_types::{epochs, reports, sizes, times};

fn at(millis: u64) -> times::BootTime {
    times::BootTime::from_millis(millis)
}

fn request(sequence: u64) -> engine::RunRequest {
    engine::RunRequest {
        sequence,
        attempt: None,
        priority: 1,
        group: Some("mvd-a/1".parse().unwrap()),
        generation: Some(epochs::GroupGeneration::new(1)),
        model: None,
        prefix: String::new(),
    }
}

fn loaded(settings: engine::EngineSettings) -> engine::EngineSimulator {
    let mut simulator = engine::EngineSimulator::new(settings);
    let order = engine::EngineOrder {
        kind: engine::OrderKind::Load,
        group: "mvd-a/1".parse().unwrap(),
        generation: epochs::GroupGeneration::new(1),
        rank: 0,
        members: Vec::new(),
        model: Some("draft".parse().unwrap()),
        version: None,
        adapters: Vec::new(),
        role: engine::EngineRole::Unified,
        expires_in_ms: Some(1),
    };
    assert_eq!(
        simulator.apply_order(order, at(0)),
        engine::OrderAnswer::Accepted
    );
    simulator
}

fn settings() -> engine::EngineSettings {
    let mut settings = engine::EngineSettings::new("vm-1".parse().unwrap());
    settings.cold_limit = sizes::RequestCount::new(2);
    settings.warm_after = sizes::RequestCount::new(2);
    settings.running_limit = sizes::RequestCount::new(3);
    settings
}

#[test]
fn a_cold_engine_goes_down_over_its_cold_limit() {
    let mut simulator = loaded(settings());
    for sequence in 1..=3 {
        simulator.admit(request(sequence), at(1)).unwrap();
    }
    let lost = engine::RunState::Lost(engine::RunLoss::EngineDown);
    assert_eq!(simulator.run_state(1), Some(lost));
    assert_eq!(simulator.report(at(1)).state, reports::EngineState::Empty);
}

#[test]
fn completed_requests_warm_an_engine_and_excess_requests_queue() {
    let mut simulator = loaded(settings());
    for sequence in 1..=2 {
        simulator.admit(request(sequence), at(1)).unwrap();
        simulator.finish(sequence, true, at(2));
    }
    assert_eq!(simulator.report(at(2)).state, reports::EngineState::Warm);
    for sequence in 3..=6 {
        simulator.admit(request(sequence), at(3)).unwrap();
    }
    assert_eq!(simulator.run_state(6), Some(engine::RunState::Queued));
    simulator.finish(3, true, at(4));
    assert_eq!(simulator.run_state(6), Some(engine::RunState::Running));
    simulator.make_cold();
    simulator.admit(request(7), at(5)).unwrap();
    assert_eq!(simulator.report(at(5)).state, reports::EngineState::Empty);
}

#[test]
fn loads_and_reports_are_delayed() {
    let mut slow = settings();
    slow.load_time = time::Duration::from_millis(10);
    slow.report_lag = time::Duration::from_millis(5);
    let mut simulator = loaded(slow);
    let refused = simulator.admit(request(1), at(9));
    assert_eq!(refused, Err(engine::AdmitRefusal::NotLoaded));
    simulator.admit(request(2), at(10)).unwrap();
    assert_eq!(simulator.report(at(14)).running.get(), 0);
    assert_eq!(simulator.report(at(15)).running.get(), 1);
}

#[test]
fn cache_events_are_delayed_and_have_gaps() {
    let mut cache = engine::PrefixCache::new(1, time::Duration::from_millis(5));
    cache.touch("a", at(0));
    cache.lose_events(1);
    cache.touch("b", at(1));
    let (events, _latest) = cache.events_after(epochs::EventSequence::new(0), at(4));
    assert!(events.is_empty());
    let (events, latest) = cache.events_after(epochs::EventSequence::new(0), at(9));
    let numbers: Vec<_> = events.iter().map(|event| event.sequence.get()).collect();
    assert_eq!((numbers, latest.get()), (vec![1, 3], 3));
    assert_eq!(events[1].kind, engine::CacheEventKind::Evicted);
}
