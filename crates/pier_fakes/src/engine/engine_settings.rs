//! The settings of a fake engine.

use std::time;

use pier_types::{ids, sizes, times};

use crate::engine;

/// The settings of an engine; faults can change some of them later.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// The VM that it runs on.
    pub vm: ids::VmName,
    /// Whether it refuses orders of a lower generation and requests that name another group or
    /// generation.
    pub fencing: bool,
    /// Time to produce one token.
    pub token_time: time::Duration,
    /// Time to prefill a prompt whose prefix is not cached.
    pub prefill_time: time::Duration,
    /// Minimum time to load weights.
    pub load_time: time::Duration,
    /// Size of the weights read from the store.
    pub weight_size: sizes::ByteSize,
    /// The weight store shared with other engines; without one, a load takes `load_time`.
    pub weight_store: Option<engine::WeightStore>,
    /// Maximum number of running requests; more are queued.
    pub running_limit: sizes::RequestCount,
    /// Maximum number of running requests while cold; one more crashes the engine.
    pub cold_limit: sizes::RequestCount,
    /// Completed requests after which a cold engine becomes warm.
    pub warm_after: sizes::RequestCount,
    /// Age of the load figures in a report.
    pub report_lag: time::Duration,
    /// Maximum number of cached prefixes.
    pub cache_limit: usize,
    /// Delay before a cache event can be read.
    pub event_lag: time::Duration,
}

impl EngineSettings {
    /// Returns settings with fencing, 1 ms per token, no other delays, and generous limits.
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

    /// Reserves a read of the weights and returns when a load that begins now ends.
    pub fn loaded_at(&self, now: times::BootTime) -> times::BootTime {
        let earliest = now.after(self.load_time);
        match &self.weight_store {
            Some(store) => store.reserve(self.weight_size, now).max(earliest),
            None => earliest,
        }
    }
}
