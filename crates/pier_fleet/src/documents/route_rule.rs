//! One route.

use std::time;

use pier_types::ids;
use serde::{Deserialize, Serialize};

use crate::documents;

/// How requests under one path prefix of a host are handled.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name of the route in the document.
    pub name: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub repeat: documents::RepeatRule,
    /// Longest time that a request may take.
    pub timeout: time::Duration,
    /// Promised time to the answer, or to a stream's first event.
    pub objective: time::Duration,
    /// Promised longest pause between a stream's events.
    pub gap_objective: time::Duration,
    /// Priority rank of the route's requests, 0 first.
    pub rank: u8,
    /// Services that share the route.
    pub split: Vec<documents::SplitShare>,
    /// Most targets that one request may be sent to.
    pub max_sends: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl RouteRule {
    /// Chooses a service by its weight; `draw` is any uniformly distributed number. Returns `None`
    /// if all weights are zero.
    pub fn service_for(&self, draw: u32) -> Option<&ids::ServiceName> {
        let total: u64 = self.split.iter().map(|share| u64::from(share.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut point = u64::from(draw) % total;
        for share in &self.split {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
        }
        None
    }
}
