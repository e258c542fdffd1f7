//! The size of a fleet and the behaviour of its engines.

use std::time;

use pier_limits::shifts;
use pier_types::sizes;

/// Parameters of a fleet.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// Names of the data centres.
    pub data_centres: Vec<String>,
    /// Nodes per data centre.
    pub nodes: u32,
    /// Engines per data centre; each is a replica group of one member.
    pub engines: u32,
    /// Concurrent requests that a warm engine can serve.
    pub warm_limit: sizes::RequestCount,
    /// Concurrent requests that a cold engine can serve; one more makes it crash.
    pub cold_limit: sizes::RequestCount,
    /// Requests that a cold engine completes before it is warm.
    pub warm_after: sizes::RequestCount,
    /// Decode time per token.
    pub token_time: time::Duration,
    /// Prefill time of a prompt whose prefix is not cached.
    pub prefill_time: time::Duration,
    /// Prompt prefixes that an engine caches.
    pub cached_prefixes: usize,
    /// Time that loading weights takes.
    pub load_time: time::Duration,
    /// Retry budget of the customer, as a percentage of its requests.
    pub retry_percent: u32,
    /// How fast load moves while a data centre leaves or returns.
    pub shift: shifts::ShiftPolicy,
}

impl FleetPlan {
    /// Returns how many concurrent requests all warm engines can serve together.
    pub fn capacity(&self) -> sizes::RequestCount {
        let centres = u32::try_from(self.data_centres.len()).unwrap_or(u32::MAX);
        sizes::RequestCount::new(centres * self.engines * self.warm_limit.get())
    }
}
