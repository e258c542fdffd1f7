//! The request rate that a target states, and this node's part of it.

use std::time;

use pier_types::{rates, times};

/// Requests that a node may save up.
const BURST: f64 = 1.0;

/// Rate at which requests are sent to a target that takes none, in requests a second, so that its
/// answers show when that ends.
const PROBE_PER_SECOND: f64 = 0.2;

/// How long a stated rate holds without an answer that repeats it.
const LIFETIME: time::Duration = time::Duration::from_secs(15);

/// Interval at which an unchanged rate is repeated to the other nodes.
const REPEAT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Shortest time after which a refused caller may come back, while this node has no part of the rate.
const MIN_RETRY: time::Duration = time::Duration::from_millis(250);

/// What is known of a target's rate.
///
/// The parts of all nodes add up to the rate. Each is a token bucket, from which a request is taken when
/// its target is chosen.
#[derive(Debug, Clone, Copy, Default)]
pub struct TargetLimit {
    stated: Option<StatedRate>,
    /// This node's part of the rate, from 0 to 1.
    share: f64,
    /// When a notice of the rate was last sent to the other nodes, or came from one of them.
    told_at: Option<times::BootTime>,
    tokens: f64,
    refilled_at: times::BootTime,
}

/// A rate, or that there is none any more, as an answer stated it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatedRate {
    /// Requests a second that the target takes from all nodes; `None` if its answer stated no limit.
    pub rate: Option<rates::RequestMilliRate>,
    /// When the answer came.
    pub stated_at: times::BootTime,
}

impl TargetLimit {
    /// Records what an answer stated, unless a later one is known; returns whether it differs from what
    /// was known.
    pub fn record(&mut self, stated: StatedRate, now: times::BootTime) -> bool {
        let known = self.stated;
        if known.is_some_and(|known| stated.stated_at < known.stated_at) {
            return false;
        }
        let former = self.rate(now);
        self.stated = Some(stated);
        former != self.rate(now)
    }

    /// Returns when the last answer stated a rate, or none.
    pub fn stated_at(&self) -> Option<times::BootTime> {
        self.stated.map(|stated| stated.stated_at)
    }

    /// Returns the rate that holds now; `None` if there is none.
    pub fn rate(&self, now: times::BootTime) -> Option<rates::RequestMilliRate> {
        let stated = self.stated?;
        stated
            .rate
            .filter(|_rate| now.since(stated.stated_at) < LIFETIME)
    }

    /// Returns whether the rate is to be repeated to the other nodes.
    pub fn is_repeat_due(&self, now: times::BootTime) -> bool {
        self.told_at
            .is_none_or(|at| now.since(at) >= REPEAT_INTERVAL)
    }

    /// Records that all nodes are told of the rate.
    pub fn note_told(&mut self, now: times::BootTime) {
        self.told_at = Some(now);
    }

    /// Sets this node's part of the rate, from 0 to 1.
    pub fn set_share(&mut self, share: f64, now: times::BootTime) {
        self.refill(now);
        self.share = share;
    }

    /// Returns whether a request may be sent now.
    pub fn allows(&mut self, now: times::BootTime) -> bool {
        self.refill(now);
        self.rate(now).is_none() || self.tokens >= 1.0
    }

    /// Counts a request that is sent now.
    pub fn take(&mut self, now: times::BootTime) {
        self.refill(now);
        if self.rate(now).is_some() {
            self.tokens -= 1.0;
        }
    }

    /// Takes back the count of a request that is not sent after all.
    pub fn give_back(&mut self, now: times::BootTime) {
        self.refill(now);
        self.tokens = (self.tokens + 1.0).min(BURST);
    }

    /// Returns for how long no request may be sent; `None` if one may be sent now.
    pub fn wait(&mut self, now: times::BootTime) -> Option<time::Duration> {
        if self.allows(now) {
            return None;
        }
        let per_second = self.per_second(now);
        let seconds = if per_second > 0.0 {
            (1.0 - self.tokens) / per_second
        } else {
            let rate = self.rate(now).map_or(0.0, fraction);
            1.0 / rate.max(PROBE_PER_SECOND)
        };
        let wait = time::Duration::try_from_secs_f64(seconds).unwrap_or(LIFETIME);
        Some(wait.clamp(MIN_RETRY, LIFETIME))
    }

    /// Returns the requests a second that this node may send.
    fn per_second(&self, now: times::BootTime) -> f64 {
        let rate = self.rate(now).map_or(0.0, fraction);
        rate.max(PROBE_PER_SECOND) * self.share
    }

    fn refill(&mut self, now: times::BootTime) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + self.per_second(now) * elapsed).min(BURST);
        self.refilled_at = now;
    }
}

/// Returns a rate in requests a second.
fn fraction(rate: rates::RequestMilliRate) -> f64 {
    let milli = u32::try_from(rate.get()).unwrap_or(u32::MAX);
    f64::from(milli) / 1_000.0
}
