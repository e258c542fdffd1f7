//! Limits the rate of requests from this node to a cold target.

use pier_types::times;

/// Burst size of the token bucket, in requests.
const BURST: f64 = 1.0;

/// A token bucket that limits requests to a target in its cold start.
///
/// The shares of all nodes add up to the published rate, so a cold target is never overloaded
/// although the nodes do not coordinate each request.
#[derive(Debug, Clone, Copy, Default)]
pub struct ColdGate {
    tokens: f64,
    filled_at: Option<times::BootTime>,
}

impl ColdGate {
    /// Returns whether a request may be sent now; `per_second` is this node's share of the rate.
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
