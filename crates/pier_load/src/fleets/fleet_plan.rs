//! How large a fleet is and how its engines behave.

use std::time;

use pier_limits::shifts;
use pier_types::sizes;

/// What a fleet is built from.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// The data centres' names.
    pub data_centres: Vec<String>,
    /// Nodes in each of them.
    pub nodes: u32,
    /// Engines in each of them; each is a group of its own.
    pub engines: u32,
    /// Requests that an engine bears.
    pub warm_limit: sizes::RequestCount,
    /// Requests that an engine bears while cold; one more brings it down.
    pub cold_limit: sizes::RequestCount,
    /// Requests that a cold engine finishes until it is warm.
    pub warm_after: sizes::RequestCount,
    /// Time of one token.
    pub token_time: time::Duration,
    /// Time of a prompt whose prefix is not cached.
    pub prefill_time: time::Duration,
    /// Prefixes that an engine caches.
    pub cached_prefixes: usize,
    /// Time that loading weights takes.
    pub load_time: time::Duration,
    /// Retries of a hundred requests that the customer may cause.
    pub retry_percent: u32,
    /// How fast load moves while a data centre leaves and returns.
    pub shift: shifts::ShiftPolicy,
}

impl FleetPlan {
    /// Returns how many requests all engines bear together.
    pub fn capacity(&self) -> sizes::RequestCount {
        let centres = u32::try_from(self.data_centres.len()).unwrap_or(u32::MAX);
        sizes::RequestCount::new(centres * self.engines * self.warm_limit.get())
    }
}
