//! Decides how much room a request leaves for more urgent ones.

use std::time;

use crate::{dispatch, documents, urgency};

/// Requests of a more urgent class that have to be expected at a group within their objective for
/// room to be kept for them. Room for fewer would stand empty most of the time.
const MIN_EXPECTED: f64 = 0.5;

/// Upper bound of the share of places that more urgent requests are expected to take, which bounds
/// the estimated wait of the others.
const MAX_OVERTAKING: f64 = 0.9;

/// Share of a more urgent class's service below which a class is owed room, in percent.
const KEPT_PERCENT: u32 = 80;

/// Difference of two classes' shares of service that a node's sample of few requests shows without
/// any difference among all nodes, in thousandths.
const SAMPLE_NOISE_PERMILLE: u32 = 100;

/// Share of all work up to which a class is owed room, in thousandths. A burst of a less urgent class
/// gets no more by it.
const OWED_WORK_PERMILLE: u32 = 200;

/// Share of a group's places from which on room is short there, as a divisor and a multiple.
const SHORT_ROOM: (u32, u32) = (4, 3);

/// What a request may expect at groups where requests of other urgency wait or are expected.
///
/// With requests of one urgency only, it expects what [`dispatch::PassModel`] predicts for the whole
/// load and keeps no room.
#[derive(Debug)]
pub(super) struct UrgencyRoom<'a> {
    model: dispatch::PassModel<'a>,
    batch: u32,
    class: urgency::UrgencyClass,
    /// Whether requests of other classes arrived lately.
    has_others: bool,
    /// The request's prompt tokens.
    prompt: u64,
    /// The recently observed delay of first events.
    learned: time::Duration,
    /// The more urgent classes of which requests are expected.
    expected: Vec<ExpectedClass>,
    /// Whether the request is admitted like one of the more urgent classes, as too few of its own
    /// class were served.
    is_owed: bool,
}

/// Requests of a more urgent class that are expected at each group.
#[derive(Debug, Clone, Copy)]
struct ExpectedClass {
    class: urgency::UrgencyClass,
    objective: time::Duration,
    prompt: u64,
    /// Requests a second.
    rate: f64,
    /// Requests that arrive within their objective and the age of the load.
    arrivals: u32,
    /// Whether a clearly smaller share of this class was served than of the request's own.
    is_worse_off: bool,
}

impl<'a> UrgencyRoom<'a> {
    pub(super) fn new(
        engine: &'a documents::EngineSpec,
        pace: f64,
        learned: time::Duration,
        request: &dispatch::RequestFacts,
        candidates: &[dispatch::LoadFacts],
    ) -> Self {
        let model = dispatch::PassModel::new(engine, pace);
        let class = urgency::UrgencyClass::of_rank(request.rank);
        let running: u32 = candidates.iter().map(|load| load.running).sum();
        let running = f64::from(running) / candidates.len().max(1) as f64;
        let end_rate = model.end_rate(running);
        let own_served = request.demand.of(class).served_permille;
        let expected = class.more_urgent().iter().filter_map(|class| {
            let demand = request.demand.of(*class);
            let objective = demand.objective?;
            let rate = f64::from(demand.wanted_permille) / 1_000.0 * end_rate;
            let is_expected = rate * objective.as_secs_f64() >= MIN_EXPECTED;
            let arrivals = rate * (objective + request.view_age).as_secs_f64();
            let arrivals = time::Duration::from_secs_f64(arrivals.round()).as_secs();
            is_expected.then_some(ExpectedClass {
                class: *class,
                objective,
                prompt: demand.prompt,
                rate,
                arrivals: u32::try_from(arrivals).unwrap_or(u32::MAX),
                is_worse_off: demand.served_permille + SAMPLE_NOISE_PERMILLE < own_served,
            })
        });
        let expected: Vec<_> = expected.collect();
        let served = expected.iter();
        let served = served.map(|other| request.demand.of(other.class).served_permille);
        let is_behind = served
            .min()
            .is_some_and(|served| own_served < served * KEPT_PERCENT / 100);
        let is_owed = is_behind && request.demand.of(class).work_permille < OWED_WORK_PERMILLE;
        Self {
            model,
            batch: engine.batch.get(),
            class,
            has_others: request.demand.has_others(class),
            prompt: request.prompt,
            learned,
            expected,
            is_owed,
        }
    }

    /// Returns the expected time to the request's first event at a group, without the learned delay.
    ///
    /// It counts what is ahead of the request in the order in which the group starts requests, and
    /// the more urgent ones that will arrive while it waits for a place.
    pub(super) fn first_event(&self, load: &dispatch::LoadFacts) -> time::Duration {
        if !self.has_others {
            return self.model.first_event(load, self.prompt);
        }
        let ahead = load.ahead_of(self.class, self.batch);
        let first_event = self.model.first_event(&ahead, self.prompt);
        if self.is_owed || self.expected.is_empty() {
            return first_event;
        }
        let rate: f64 = self.expected.iter().map(|other| other.rate).sum();
        let end_rate = self.model.end_rate(f64::from(self.batch));
        let overtaking = (rate / end_rate.max(f64::MIN_POSITIVE)).min(MAX_OVERTAKING);
        let slot_wait = self.model.slot_wait(&ahead);
        first_event + slot_wait.mul_f64(overtaking / (1.0 - overtaking))
    }

    /// Returns whether room is kept for more urgent requests at any group.
    pub(super) const fn is_kept(&self) -> bool {
        !self.is_owed && !self.expected.is_empty()
    }

    /// Returns whether the more urgent requests that wait or are expected at a group still meet their
    /// objectives there once it gets this request.
    pub(super) fn admits(&self, load: &dispatch::LoadFacts) -> bool {
        !self.is_kept()
            || self.expected.iter().all(|other| {
                let (divisor, multiple) = SHORT_ROOM;
                let is_short = load.in_flight() >= self.batch / divisor * multiple;
                let is_ahead = other.is_worse_off && is_short;
                !is_ahead && self.leaves_room(load, other)
            })
    }

    fn leaves_room(&self, load: &dispatch::LoadFacts, other: &ExpectedClass) -> bool {
        let mut ahead = load.ahead_of(other.class, self.batch);
        if load.in_flight() < self.batch {
            ahead.waiting = ahead.waiting.saturating_add(1);
            ahead.waiting_prompt = ahead.waiting_prompt.saturating_add(self.prompt);
        }
        ahead.waiting = ahead.waiting.saturating_add(other.arrivals);
        let prompts = other.prompt.saturating_mul(u64::from(other.arrivals));
        ahead.waiting_prompt = ahead.waiting_prompt.saturating_add(prompts);
        let learned = self.learned.min(other.objective / 2);
        self.model.first_event(&ahead, other.prompt) + learned <= other.objective
    }
}
