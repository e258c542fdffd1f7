//! Limits the rate of requests from this node to a cold target.

use pier_types::times;

/// Burst size of the token bucket, in requests.
const BURST: f64 = 1.0;

/// A token bucket that limits requests to a target in its cold start.
///
/// The shares of all nodes add up to the published rate, so a cold target is never overloaded
/// although the nodes do not coordinate each request.
#[derive(Debug, Clone, Copy, Default)]
pub struct ColdLimiter {
    tokens: f64,
    refilled_at: Option<times::BootTime>,
}

impl ColdLimiter {
    /// Returns whether a request may be sent now; `per_second` is this node's share of the rate.
    pub fn allows(&mut self, per_second: f64, now: times::BootTime) -> bool {
        self.refill(per_second, now);
        self.tokens >= 1.0
    }

    /// Counts a request that is sent now.
    pub fn take(&mut self, per_second: f64, now: times::BootTime) {
        self.refill(per_second, now);
        self.tokens -= 1.0;
    }

    fn refill(&mut self, per_second: f64, now: times::BootTime) {
        let elapsed = self
            .refilled_at
            .map_or(1.0, |at| now.since(at).as_secs_f64());
        self.tokens = (self.tokens + per_second * elapsed).min(BURST);
        self.refilled_at = Some(now);
    }
}
