//! How long claims are kept and which keys are accepted.

use std::time;

use pier_types::{codes, times};

use crate::claims;

/// The times that keep a forgotten claim from being made again.
///
/// A key is refused before its claim may be deleted, on any node whose clock errs by no more than
/// [`skew`](Self::skew).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimRetention {
    /// How long after its issue a key is accepted.
    pub retention: time::Duration,
    /// Greatest error of a node's clock.
    pub skew: time::Duration,
    /// Longest time from the check of a key to its dispatch.
    pub margin: time::Duration,
}

impl ClaimRetention {
    /// Accepts or refuses a key by its time of issue.
    ///
    /// # Errors
    /// [`ExpiredKey`](codes::ResultCode::ExpiredKey) when it is older than the retention,
    /// [`MalformedKey`](codes::ResultCode::MalformedKey) when it lies further ahead than clocks err.
    pub fn check(
        &self,
        key: &claims::IdempotencyKey,
        wall: times::WallTime,
    ) -> Result<(), codes::ResultCode> {
        // Two clocks may err in opposite directions.
        if key.issued() > wall.after(self.skew * 2) {
            return Err(codes::ResultCode::MalformedKey);
        }
        if wall.since(key.issued()) > self.retention {
            return Err(codes::ResultCode::ExpiredKey);
        }
        Ok(())
    }

    /// Returns how long after the key's issue its claim is kept.
    pub fn keep_for(&self) -> time::Duration {
        self.retention + self.skew * 2 + self.margin
    }

    /// Tells whether the claim of a key may be deleted.
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
