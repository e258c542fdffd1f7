//! What requests tell of a target's warmth.

use std::time;

use pier_types::{epochs, ids, routes, times};

/// What a request saw of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WarmthSignal {
    /// The first token of a stream came after this time.
    FirstToken(time::Duration),
    /// The target failed.
    Failure,
}

/// One piece of evidence for the ramp of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WarmthEvidence {
    /// The target.
    pub target: ids::TargetId,
    /// Its generation when the request was sent.
    pub generation: epochs::GroupGeneration,
    /// What was seen.
    pub signal: WarmthSignal,
    /// When it was seen.
    pub seen_at: times::BootTime,
}

impl WarmthEvidence {
    /// Makes the news of one target.
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
