//! One route.

use std::time;

use pier_types::ids;

use crate::documents;

/// What becomes of requests under one prefix of one host's paths.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRule {
    /// Name in the document.
    pub name: String,
    /// Beginning of the paths, with a slash at both ends.
    pub prefix: String,
    /// How often a request may run.
    pub repeat: documents::RepeatRule,
    /// Longest time that a request may take.
    pub timeout: time::Duration,
    /// Time to the answer, or to a stream's first event, that callers are promised.
    pub objective: time::Duration,
    /// Longest pause between a stream's events that callers are promised.
    pub gap_objective: time::Duration,
    /// Rank among routes, 0 first.
    pub rank: u8,
    /// Services that share the route.
    pub split: Vec<documents::SplitShare>,
    /// Targets that one request may be sent to.
    pub max_sends: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl RouteRule {
    /// Chooses a service by its weight; `draw` is any evenly spread number.
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
