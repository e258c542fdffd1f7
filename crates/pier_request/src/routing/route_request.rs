//! The input of a routing decision.

use std::collections;

use pier_types::{ids, times};

/// One attempt that needs a target.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// Targets that earlier attempts of the request were sent to.
    pub tried: &'a [ids::TargetId],
    /// Targets that hold the prompt's prefix in their cache.
    pub holders: Option<&'a collections::BTreeSet<ids::TargetId>>,
    /// A number drawn at random for this attempt.
    pub random: u64,
    /// The current time.
    pub now: times::BootTime,
}
