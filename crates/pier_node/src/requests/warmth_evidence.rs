//! Evidence from requests about the warm-up of a target.

use std::time;

use pier_types::{epochs, ids, routes, times};

/// What a request observed of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WarmthSignal {
    /// The time to first token of a stream.
    FirstToken(time::Duration),
    /// The target failed.
    Failure,
}

/// One observation for the warm-up ramp of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WarmthEvidence {
    /// The target.
    pub target: ids::TargetId,
    /// Its generation when the request was sent.
    pub generation: epochs::GroupGeneration,
    /// What was observed.
    pub signal: WarmthSignal,
    /// When it was observed.
    pub seen_at: times::BootTime,
}

impl WarmthEvidence {
    /// Creates the evidence of one target.
    pub(super) fn of(
        target: &routes::RouteTarget,
        signal: WarmthSignal,
        seen_at: times::BootTime,
    ) -> Self {
        Self {
            target: target.target.clone(),
            generation: target.generation,
            signal,
            seen_at,
        }
    }
}
