//! How an engine behaves.

use std::time;

use pier_types::{ids, sizes, times};

use crate::engine;

/// The fixed properties of an engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// The VM it runs on.
    pub vm: ids::VmName,
    /// Whether it refuses orders and requests with another generation than its own.
    pub fencing: bool,
    /// Time that one token takes.
    pub token_time: time::Duration,
    /// Time that reading a prompt takes whose prefix is not in the cache.
    pub prefill_time: time::Duration,
    /// Least time that loading weights takes.
    pub load_time: time::Duration,
    /// Size of the weights that it reads from the store.
    pub weight_size: sizes::ByteSize,
    /// The store that it shares with others; without one, only the least time counts.
    pub weight_store: Option<engine::WeightStore>,
    /// Requests that run together; more wait.
    pub running_limit: sizes::RequestCount,
    /// Requests that may run together while cold; one more brings the engine down.
    pub cold_limit: sizes::RequestCount,
    /// Requests to finish until a cold engine is warm.
    pub warm_after: sizes::RequestCount,
    /// Age of the load that a report shows.
    pub report_lag: time::Duration,
    /// Prefixes that the cache holds.
    pub cache_limit: usize,
    /// Time after which a cache event can be read.
    pub event_lag: time::Duration,
}

impl EngineSettings {
    /// Returns an engine with fencing, no artificial times, and generous limits.
    pub fn new(vm: ids::VmName) -> Self {
        Self {
            vm,
            fencing: true,
            token_time: time::Duration::from_millis(1),
            prefill_time: time::Duration::ZERO,
            load_time: time::Duration::ZERO,
            weight_size: sizes::ByteSize::default(),
            weight_store: None,
            running_limit: sizes::RequestCount::new(64),
            cold_limit: sizes::RequestCount::new(8),
            warm_after: sizes::RequestCount::new(16),
            report_lag: time::Duration::ZERO,
            cache_limit: 64,
            event_lag: time::Duration::ZERO,
        }
    }

    /// Returns when a load that begins now ends.
    pub fn loaded_at(&self, now: times::BootTime) -> times::BootTime {
        let earliest = now.after(self.load_time);
        match &self.weight_store {
            Some(store) => store.reserve(self.weight_size, now).max(earliest),
            None => earliest,
        }
    }
}
