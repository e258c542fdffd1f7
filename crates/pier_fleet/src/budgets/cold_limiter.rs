//! Limits the rate of requests from this node to a cold target.

use std::time;

use pier_types::times;

/// Burst size of the token bucket, in requests.
const BURST: f64 = 1.0;

/// Share of the rate, in requests a second, from which on an unused request is kept. The nodes are
/// then at most half as many as the requests a second, so that one kept by each adds at most half
/// the rate.
const KEEPING_SHARE: f64 = 2.0;

/// How long a node with a smaller share may use a request that it saved up. Only the nodes that
/// saved one up within this time send at once when all of them choose the target.
const HOLD_TIME: time::Duration = time::Duration::from_millis(250);

/// Time without a look at the target after which a smaller share is saved up anew.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(1);

/// A token bucket that limits requests to a target in its cold start.
///
/// The shares of all nodes add up to the published rate, so a cold target is never overloaded
/// although the nodes do not coordinate each request. With many nodes a share is less than a
/// request a second. Each of these nodes starts at another point between two requests and drops
/// a request that it does not use, since requests that all nodes kept would be sent in one instant.
#[derive(Debug, Clone, Copy, Default)]
pub struct ColdLimiter {
    /// Part of a request that is saved up at the start, 0 to 1; differs between nodes.
    phase: f64,
    tokens: f64,
    refilled_at: Option<times::BootTime>,
}

impl ColdLimiter {
    /// Creates a limiter; `draw` is a random number from 0 to 1.
    pub fn new(draw: f64) -> Self {
        Self {
            phase: draw.clamp(0.0, 1.0),
            ..Self::default()
        }
    }

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
        let elapsed = self.refilled_at.replace(now).map(|at| now.since(at));
        if per_second >= KEEPING_SHARE {
            let elapsed = elapsed.map_or(1.0, |elapsed| elapsed.as_secs_f64());
            self.tokens = (self.tokens + per_second * elapsed).min(BURST);
            return;
        }
        match elapsed.filter(|elapsed| *elapsed < MAX_PAUSE) {
            Some(elapsed) => self.tokens += per_second * elapsed.as_secs_f64(),
            None => self.tokens = self.phase,
        }
        let held = per_second * HOLD_TIME.as_secs_f64();
        if self.tokens >= BURST + held {
            self.tokens -= BURST + held;
        }
    }
}
