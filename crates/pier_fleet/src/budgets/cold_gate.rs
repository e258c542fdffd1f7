//! How much a cold target gets from this node.

use pier_types::times;

/// Requests that one node may send at once to a cold target.
const BURST: f64 = 1.0;

/// Spreads this node's part of a cold target's rate over time.
///
/// Keeps the promise that a target in a cold start receives no more load than it can bear: the
/// nodes' parts add up to the published rate, and each node keeps to its own without asking.
#[derive(Debug, Clone, Copy, Default)]
pub struct ColdGate {
    tokens: f64,
    filled_at: Option<times::BootTime>,
}

impl ColdGate {
    /// Tells whether a request may be sent now; `per_second` is this node's part.
    pub fn allows(&mut self, per_second: f64, now: times::BootTime) -> bool {
        self.fill(per_second, now);
        self.tokens >= 1.0
    }

    /// Counts a request that is sent now.
    pub fn take(&mut self, per_second: f64, now: times::BootTime) {
        self.fill(per_second, now);
        self.tokens -= 1.0;
    }

    fn fill(&mut self, per_second: f64, now: times::BootTime) {
        let passed = self.filled_at.map_or(1.0, |at| now.since(at).as_secs_f64());
        self.tokens = (self.tokens + per_second * passed).min(BURST);
        self.filled_at = Some(now);
    }
}
