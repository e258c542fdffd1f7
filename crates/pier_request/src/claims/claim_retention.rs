//! How long claims are kept, and until when keys are accepted.

use std::time;

use pier_types::{codes, times};

use crate::claims;

/// The limits that prevent a key from being claimed again after its claim was deleted.
///
/// Every node whose clock is off by at most [`skew`](Self::skew) refuses a key before the claim of
/// that key may be deleted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimRetention {
    /// How long after its issue a key is accepted.
    pub retention: time::Duration,
    /// Largest error of a node's clock.
    pub skew: time::Duration,
    /// Longest time from the check of a key to the dispatch of its request.
    pub margin: time::Duration,
}

impl ClaimRetention {
    /// Accepts or refuses a key according to its time of issue.
    ///
    /// # Errors
    /// [`ExpiredKey`](codes::ResultCode::ExpiredKey) when the key is older than the retention,
    /// [`MalformedKey`](codes::ResultCode::MalformedKey) when its time of issue is further in the
    /// future than clock errors explain.
    pub fn check(
        &self,
        key: &claims::IdempotencyKey,
        wall: times::WallTime,
    ) -> Result<(), codes::ResultCode> {
        // The clocks of the issuer and of this node may be off in opposite directions.
        if key.issued() > wall.after(self.skew * 2) {
            return Err(codes::ResultCode::MalformedKey);
        }
        if wall.since(key.issued()) > self.retention {
            return Err(codes::ResultCode::ExpiredKey);
        }
        Ok(())
    }

    /// Returns how long after the issue of a key its claim is kept.
    pub fn keep_for(&self) -> time::Duration {
        self.retention + self.skew * 2 + self.margin
    }

    /// Returns whether the claim of a key may be deleted.
    pub fn may_delete(&self, key: &claims::IdempotencyKey, wall: times::WallTime) -> bool {
        wall.since(key.issued()) > self.keep_for()
    }
}

impl Default for ClaimRetention {
    fn default() -> Self {
        Self {
            retention: time::Duration::from_hours(24),
            skew: time::Duration::from_secs(30),
            margin: time::Duration::from_mins(1),
        }
    }
}
