//! Nodes that send requests to groups on a view of their load that is some time old.

use std::{collections, time};

use pier_fleet::{dispatch, documents, urgency};
use pier_types::times;

use super::simulated_group::{GroupRequest, SimulatedGroup};

/// Milliseconds between two steps of the simulation.
const STEP_MS: u32 = 10;

/// Time of a run, after which all answers have begun.
const RUN_MS: u32 = 24_000;

/// Time for which requests arrive.
pub const CALLING_TIME: time::Duration = time::Duration::from_secs(20);

/// Requests of one kind, which arrive at even intervals.
#[derive(Debug, Clone, Copy)]
pub struct RequestKind {
    pub rank: u8,
    pub prompt: u64,
    pub answer_tokens: u32,
    pub objective_ms: u64,
    /// Requests a second, and those from 8 s to 11 s.
    pub rates: (f64, f64),
    /// How often a caller that was refused repeats its request at once.
    pub repeats: u32,
}

/// What the nodes know.
#[derive(Debug, Clone, Copy)]
pub struct NodeView {
    pub age_ms: u32,
    /// Whether every second report of the load is lost.
    pub loses_reports: bool,
}

/// The callers of one kind and how many of them were answered within their objective.
#[derive(Debug, Clone, Copy, Default)]
pub struct KindResult {
    pub callers: u32,
    pub in_time: u32,
    pub refused: u32,
}

impl KindResult {
    pub fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.callers)
    }
}

/// The groups and the nodes that send to them.
#[derive(Debug, Clone)]
pub struct FleetShape {
    pub engine: documents::EngineSpec,
    pub groups: usize,
    pub nodes: usize,
}

pub struct SimulatedFleet {
    shape: FleetShape,
    groups: Vec<SimulatedGroup>,
    records: Vec<urgency::DemandRecord>,
    /// How much later first events came than predicted, in milliseconds, for each node.
    delays: Vec<f64>,
    loads: collections::VecDeque<Vec<dispatch::LoadFacts>>,
    results: Vec<KindResult>,
    draw: u32,
}

impl SimulatedFleet {
    pub fn run(shape: &FleetShape, kinds: &[RequestKind], view: NodeView) -> Vec<KindResult> {
        let mut simulation = Self {
            groups: (0..shape.groups)
                .map(|_group| SimulatedGroup::default())
                .collect(),
            records: vec![urgency::DemandRecord::default(); shape.nodes],
            delays: vec![0.0; shape.nodes],
            loads: collections::VecDeque::new(),
            results: vec![KindResult::default(); kinds.len()],
            draw: 1,
            shape: shape.clone(),
        };
        let mut due = vec![0.0; kinds.len()];
        for now_ms in (0..RUN_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
            simulation.advance(now_ms, view);
            if u128::from(now_ms) > CALLING_TIME.as_millis() {
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
        let engine = &self.shape.engine;
        for group in &mut self.groups {
            for (request, at_ms) in group.advance(engine, f64::from(now_ms)) {
                let objective_ms = request.objective.as_secs_f64() * 1_000.0;
                let is_in_time = at_ms - request.asked_ms <= objective_ms;
                let delay = (at_ms - request.sent_ms - request.predicted_ms).clamp(0.0, 400.0);
                let mean = &mut self.delays[request.node];
                *mean = (*mean * 23.0 + delay) / 24.0;
                let class = urgency::UrgencyClass::of_rank(request.rank);
                self.records[request.node].record_outcome(class, is_in_time, at(now_ms));
                self.results[request.kind].in_time += u32::from(is_in_time);
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
            if self.send(position, kind, now_ms, view) {
                return;
            }
        }
        self.results[position].refused += 1;
    }

    fn send(&mut self, number: usize, kind: &RequestKind, now_ms: u32, view: NodeView) -> bool {
        self.draw = self
            .draw
            .wrapping_mul(1_664_525)
            .wrapping_add(1_013_904_223);
        let node = usize::try_from(self.draw >> 16).unwrap() % self.shape.nodes;
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
        let outcome = dispatch::choose_stream(&self.shape.engine, 1.0, learned, &request, &loads);
        let dispatch::ChoiceOutcome::Send { position, expected } = outcome else {
            record.record_outcome(class, false, at(now_ms));
            return false;
        };
        record.record_send(class, kind.prompt, at(now_ms));
        self.groups[position].push(GroupRequest {
            kind: number,
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

pub fn at(now_ms: u32) -> times::BootTime {
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
