//! The simulated engine: orders, admission, queueing and load, without any I/O.

use std::collections;

use pier_types::{epochs, ids, reports, sizes, times};

use crate::engine;

/// The state of one simulated engine.
///
/// Callers pass in the current time; it reads no clock and starts no task.
#[derive(Debug, Clone)]
pub struct EngineSimulator {
    /// How the engine behaves.
    pub settings: engine::EngineSettings,
    /// The prefix cache.
    pub cache: engine::PrefixCache,
    incarnation: epochs::VmIncarnation,
    order: Option<engine::EngineOrder>,
    generation: epochs::GroupGeneration,
    model: Option<ids::ModelName>,
    role: engine::EngineRole,
    state: reports::EngineState,
    loaded_at: times::BootTime,
    finished_cold: u32,
    runs: collections::BTreeMap<u64, (engine::RunRequest, engine::RunState)>,
    loads: engine::LoadHistory,
}

impl EngineSimulator {
    /// Creates an engine without a model or group.
    pub fn new(settings: engine::EngineSettings) -> Self {
        let cache = engine::PrefixCache::new(settings.cache_limit, settings.event_lag);
        Self {
            settings,
            cache,
            incarnation: epochs::VmIncarnation::new(1),
            order: None,
            generation: epochs::GroupGeneration::default(),
            model: None,
            role: engine::EngineRole::default(),
            state: reports::EngineState::Empty,
            loaded_at: times::BootTime::default(),
            finished_cold: 0,
            runs: collections::BTreeMap::new(),
            loads: engine::LoadHistory::default(),
        }
    }

    /// Makes the engine warm with a model at once, without assigning it to a group.
    pub fn preload(&mut self, model: ids::ModelName) {
        self.model = Some(model);
        self.state = reports::EngineState::Warm;
    }

    /// Returns the report; its load figures are older than `now` by the report lag.
    pub fn report(&mut self, now: times::BootTime) -> reports::EngineReport {
        self.advance(now);
        let load = self.loads.load(self.settings.report_lag, now);
        reports::EngineReport {
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
            group: self.order.as_ref().map(|order| order.group.clone()),
            generation: self.generation,
            model: self.model.clone(),
            state: self.state,
            running: load.running,
            queued: load.queued,
            is_leaving: false,
        }
    }

    /// Applies an order, or refuses it if it is expired or fenced.
    ///
    /// Repeating an applied load order does not load again.
    pub fn apply_order(
        &mut self,
        order: engine::EngineOrder,
        now: times::BootTime,
    ) -> engine::OrderAnswer {
        self.advance(now);
        if order.expires_in_ms.is_some_and(|left| left <= 0) {
            return engine::OrderAnswer::Expired;
        }
        if self.settings.fencing && order.generation < self.generation {
            return engine::OrderAnswer::Fenced(self.generation);
        }
        match order.kind {
            engine::OrderKind::Load => self.load(order, now),
            engine::OrderKind::Release => self.release(&order, now),
            engine::OrderKind::Role => {
                self.generation = order.generation;
                self.role = order.role;
            }
        }
        engine::OrderAnswer::Accepted
    }

    /// Admits a request and starts or queues it.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request is refused; a refused request has no effect.
    pub fn admit(
        &mut self,
        request: engine::RunRequest,
        now: times::BootTime,
    ) -> Result<(), engine::AdmitRefusal> {
        self.advance(now);
        self.check_admission(&request)?;
        let sequence = request.sequence;
        self.runs
            .insert(sequence, (request, engine::RunState::Queued));
        self.start_queued(now);
        Ok(())
    }

    /// Returns the state of a request, or `None` after it was finished.
    pub fn run_state(&self, sequence: u64) -> Option<engine::RunState> {
        self.runs.get(&sequence).map(|(_request, state)| *state)
    }

    /// Removes a request that ended.
    ///
    /// A completed answer counts towards warming a cold engine.
    pub fn finish(&mut self, sequence: u64, completed: bool, now: times::BootTime) {
        self.runs.remove(&sequence);
        if completed && self.state == reports::EngineState::Cold {
            self.finished_cold += 1;
            if self.finished_cold >= self.settings.warm_after.get() {
                self.state = reports::EngineState::Warm;
            }
        }
        self.start_queued(now);
    }

    /// Cancels an attempt; returns whether it was queued or running.
    pub fn cancel(&mut self, attempt: &str, now: times::BootTime) -> bool {
        let mut found = false;
        for (request, state) in self.runs.values_mut() {
            if request.attempt.as_deref() == Some(attempt) {
                found |= is_active(*state);
                *state = state_after_loss(*state, engine::RunLoss::Cancelled);
            }
        }
        self.start_queued(now);
        found
    }

    /// Makes a warm engine cold, as after a lost compile cache or an accelerator reset.
    pub fn make_cold(&mut self) {
        if self.state == reports::EngineState::Warm {
            self.state = reports::EngineState::Cold;
        }
        self.finished_cold = 0;
        self.cache.clear();
    }

    /// Drops all state and starts a new incarnation, like a new process on the same VM.
    pub fn restart(&mut self, now: times::BootTime) {
        self.incarnation = self.incarnation.next();
        self.order = None;
        self.generation = epochs::GroupGeneration::default();
        self.unload(engine::RunLoss::EngineDown, now);
    }

    /// Completes a model load whose load time is over.
    fn advance(&mut self, now: times::BootTime) {
        if self.state == reports::EngineState::Loading && now >= self.loaded_at {
            self.state = reports::EngineState::Cold;
            self.finished_cold = 0;
        }
    }

    fn check_admission(&self, request: &engine::RunRequest) -> Result<(), engine::AdmitRefusal> {
        let loaded = matches!(
            self.state,
            reports::EngineState::Cold | reports::EngineState::Warm
        );
        if !loaded {
            return Err(engine::AdmitRefusal::NotLoaded);
        }
        if self.settings.fencing && !self.matches_group(request) {
            return Err(engine::AdmitRefusal::WrongGroup);
        }
        if request.model.is_some() && request.model != self.model {
            return Err(engine::AdmitRefusal::WrongModel);
        }
        Ok(())
    }

    /// Returns whether a request names this engine's group and generation, and the engine has
    /// rank 0.
    ///
    /// An engine without a group accepts every request.
    fn matches_group(&self, request: &engine::RunRequest) -> bool {
        let Some(order) = &self.order else {
            return true;
        };
        let group = request.group.as_ref() == Some(&order.group);
        let generation = request.generation == Some(self.generation);
        group && generation && order.rank == 0
    }

    /// Starts queued requests up to the running limit, highest priority and then oldest first.
    ///
    /// A cold engine that runs more requests than its cold limit goes down.
    fn start_queued(&mut self, now: times::BootTime) {
        let limit = self.settings.running_limit.get() as usize;
        while self.count(engine::RunState::Running) < limit {
            let waiting = self.runs.iter();
            let next = waiting
                .filter(|(_sequence, (_request, state))| *state == engine::RunState::Queued)
                .max_by_key(|(sequence, (request, _state))| {
                    (request.priority, std::cmp::Reverse(**sequence))
                });
            let Some(sequence) = next.map(|(sequence, _run)| *sequence) else {
                break;
            };
            if let Some((_request, state)) = self.runs.get_mut(&sequence) {
                *state = engine::RunState::Running;
            }
        }
        let running = self.count(engine::RunState::Running);
        let overloaded = running > self.settings.cold_limit.get() as usize;
        if self.state == reports::EngineState::Cold && overloaded {
            self.unload(engine::RunLoss::EngineDown, now);
        }
        self.record_load(now);
    }

    fn load(&mut self, order: engine::EngineOrder, now: times::BootTime) {
        let repeated = self.order.as_ref().is_some_and(|current| {
            current.group == order.group
                && current.generation == order.generation
                && current.model == order.model
                && current.version == order.version
        });
        if repeated && self.state != reports::EngineState::Empty {
            return;
        }
        self.unload(engine::RunLoss::Regrouped, now);
        self.generation = order.generation;
        self.model.clone_from(&order.model);
        self.role = order.role;
        self.state = reports::EngineState::Loading;
        self.loaded_at = self.settings.loaded_at(now);
        self.order = Some(order);
        self.advance(now);
    }

    fn release(&mut self, order: &engine::EngineOrder, now: times::BootTime) {
        self.generation = order.generation;
        self.order = None;
        self.unload(engine::RunLoss::Regrouped, now);
    }

    /// Drops the weights, the cache and every request.
    fn unload(&mut self, loss: engine::RunLoss, now: times::BootTime) {
        self.state = reports::EngineState::Empty;
        self.model = None;
        self.finished_cold = 0;
        self.cache.clear();
        for (_request, state) in self.runs.values_mut() {
            *state = state_after_loss(*state, loss);
        }
        self.record_load(now);
    }

    fn count(&self, wanted: engine::RunState) -> usize {
        let states = self.runs.values();
        states.filter(|(_request, state)| *state == wanted).count()
    }

    fn record_load(&mut self, now: times::BootTime) {
        let count = |wanted| {
            let count = u32::try_from(self.count(wanted)).unwrap_or(u32::MAX);
            sizes::RequestCount::new(count)
        };
        let load = engine::EngineLoad {
            running: count(engine::RunState::Running),
            queued: count(engine::RunState::Queued),
        };
        self.loads.record(load, now);
    }
}

fn is_active(state: engine::RunState) -> bool {
    matches!(state, engine::RunState::Queued | engine::RunState::Running)
}

/// Returns the state of a request after a loss; a request that already ended keeps its state.
fn state_after_loss(state: engine::RunState, loss: engine::RunLoss) -> engine::RunState {
    match state {
        engine::RunState::Queued => engine::RunState::Dropped(loss),
        engine::RunState::Running => engine::RunState::Lost(loss),
        over => over,
    }
}
