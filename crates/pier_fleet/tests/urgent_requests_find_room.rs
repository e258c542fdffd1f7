//! Admission by urgency, at groups that serve by their published times.

mod support;

use std::{collections, time};

use pier_fleet::{dispatch, urgency};
use pier_types::times;
use support::{
    engine,
    simulated_group::{GroupRequest, SimulatedGroup},
};

const GROUPS: usize = 4;
const NODES: usize = 8;

/// Milliseconds between two steps of the simulation.
const STEP_MS: u32 = 10;

/// Time of a run, after which all answers have begun.
const RUN_MS: u32 = 24_000;

/// Requests of one kind, which arrive at even intervals.
#[derive(Debug, Clone, Copy)]
struct RequestKind {
    rank: u8,
    prompt: u64,
    answer_tokens: u32,
    objective_ms: u64,
    /// Requests a second, and those from 8 s to 11 s.
    rates: (f64, f64),
    /// How often a caller that was refused repeats its request at once.
    repeats: u32,
}

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

/// What the nodes know.
#[derive(Debug, Clone, Copy)]
struct NodeView {
    age_ms: u32,
    /// Whether every second report of the load is lost.
    loses_reports: bool,
}

const FRESH: NodeView = NodeView {
    age_ms: 100,
    loses_reports: false,
};

/// The callers of one kind and how many of them were answered within their objective.
#[derive(Debug, Clone, Copy, Default)]
struct KindResult {
    callers: u32,
    in_time: u32,
    refused: u32,
}

impl KindResult {
    fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.callers)
    }
}

struct Simulation {
    groups: Vec<SimulatedGroup>,
    records: Vec<urgency::DemandRecord>,
    /// How much later first events came than predicted, in milliseconds, for each node.
    delays: Vec<f64>,
    loads: collections::VecDeque<Vec<dispatch::LoadFacts>>,
    results: Vec<KindResult>,
    draw: u32,
}

impl Simulation {
    fn run(kinds: &[RequestKind], view: NodeView) -> Vec<KindResult> {
        let mut simulation = Self {
            groups: (0..GROUPS)
                .map(|_group| SimulatedGroup::default())
                .collect(),
            records: vec![urgency::DemandRecord::default(); NODES],
            delays: vec![0.0; NODES],
            loads: collections::VecDeque::new(),
            results: vec![KindResult::default(); kinds.len()],
            draw: 1,
        };
        let mut due = vec![0.0; kinds.len()];
        for now_ms in (0..RUN_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
            simulation.advance(now_ms, view);
            if now_ms + 4_000 > RUN_MS {
                continue;
            }
            for (position, kind) in kinds.iter().enumerate() {
                let is_burst = (8_000..11_000).contains(&now_ms);
                let rate = if is_burst { kind.rates.1 } else { kind.rates.0 };
                due[position] += rate * f64::from(STEP_MS) / 1_000.0;
                while due[position] >= 1.0 {
                    due[position] -= 1.0;
                    simulation.call(position, kind, now_ms, view);
                }
            }
        }
        simulation.results
    }

    fn advance(&mut self, now_ms: u32, view: NodeView) {
        let engine = engine();
        for group in &mut self.groups {
            for (request, at_ms) in group.advance(&engine, f64::from(now_ms)) {
                let objective_ms = request.objective.as_secs_f64() * 1_000.0;
                let is_in_time = at_ms - request.asked_ms <= objective_ms;
                let delay = (at_ms - request.sent_ms - request.predicted_ms).clamp(0.0, 400.0);
                let mean = &mut self.delays[request.node];
                *mean = (*mean * 23.0 + delay) / 24.0;
                let class = urgency::UrgencyClass::of_rank(request.rank);
                self.records[request.node].record_outcome(class, is_in_time, at(now_ms));
                let kind = self.results.iter_mut().zip(0_u8..);
                for (result, number) in kind {
                    let is_kind = number == request.rank.min(1);
                    result.in_time += u32::from(is_kind && is_in_time);
                }
            }
        }
        let batch = engine.batch.get();
        let loads = self.groups.iter().map(|group| group.load(batch));
        self.loads.push_back(loads.collect());
        let kept = usize::try_from(view.age_ms / STEP_MS).unwrap() + 1;
        while self.loads.len() > kept {
            self.loads.pop_front();
        }
    }

    /// Sends a caller's request, again at once while it is refused.
    fn call(&mut self, position: usize, kind: &RequestKind, now_ms: u32, view: NodeView) {
        self.results[position].callers += 1;
        for _attempt in 0..=kind.repeats {
            if self.send(kind, now_ms, view) {
                return;
            }
        }
        self.results[position].refused += 1;
    }

    fn send(&mut self, kind: &RequestKind, now_ms: u32, view: NodeView) -> bool {
        self.draw = self
            .draw
            .wrapping_mul(1_664_525)
            .wrapping_add(1_013_904_223);
        let node = usize::try_from(self.draw >> 16).unwrap() % NODES;
        let record = &mut self.records[node];
        let class = urgency::UrgencyClass::of_rank(kind.rank);
        let objective = time::Duration::from_millis(kind.objective_ms);
        record.record_arrival(class, kind.prompt, objective, at(now_ms));
        let request = dispatch::RequestFacts {
            prompt: kind.prompt,
            objective,
            time_left: time::Duration::from_secs(6),
            rank: kind.rank,
            is_resumed: false,
            view_age: time::Duration::from_millis(u64::from(view.age_ms)),
            displaced: 0,
            demand: record.view(at(now_ms)),
            draw: self.draw,
        };
        let mut loads = self.loads[0].clone();
        if view.loses_reports {
            loads.iter_mut().for_each(halve);
        }
        let learned = time::Duration::from_secs_f64(self.delays[node] / 1_000.0);
        let outcome = dispatch::choose_stream(&engine(), 1.0, learned, &request, &loads);
        let dispatch::ChoiceOutcome::Send { position, expected } = outcome else {
            record.record_outcome(class, false, at(now_ms));
            return false;
        };
        record.record_send(class, kind.prompt, at(now_ms));
        self.groups[position].push(GroupRequest {
            rank: kind.rank,
            prompt: kind.prompt,
            answer_tokens: kind.answer_tokens,
            objective,
            asked_ms: f64::from(now_ms),
            sent_ms: f64::from(now_ms),
            predicted_ms: expected.saturating_sub(learned).as_secs_f64() * 1_000.0,
            node,
        });
        true
    }
}

fn at(now_ms: u32) -> times::BootTime {
    times::BootTime::from_millis(u64::from(now_ms) + 1_000)
}

/// Leaves the part of a load that half of the nodes have.
fn halve(load: &mut dispatch::LoadFacts) {
    load.running /= 2;
    load.waiting /= 2;
    load.waiting_prompt /= 2;
    for work in [&mut load.mix.urgent, &mut load.mix.deferred] {
        work.requests /= 2;
        work.prompt /= 2;
    }
}

/// Runs an urgent kind beside a deferred one.
fn run(urgent: RequestKind, deferred: RequestKind, view: NodeView) -> (KindResult, KindResult) {
    let results = Simulation::run(&[urgent, deferred], view);
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
