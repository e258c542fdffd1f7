//! The price of a target for one request.

use std::time;

/// Penalty that keeps requests from a data centre while any target is available in their own.
const CLOSED_PENALTY: time::Duration = time::Duration::from_mins(1);

/// The price in time of sending a request to another data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RemotePrice {
    /// Expected time below which an earlier answer is no gain.
    pub floor: time::Duration,
    /// Time that the request has to save beyond the floor.
    pub penalty: time::Duration,
}

impl RemotePrice {
    /// The price of a target in the own data centre.
    pub const NONE: Self = Self {
        floor: time::Duration::ZERO,
        penalty: time::Duration::ZERO,
    };

    /// The price of a data centre that requests are kept from.
    pub const CLOSED: Self = Self {
        floor: time::Duration::ZERO,
        penalty: CLOSED_PENALTY,
    };

    /// Returns the price for a request that leaves in any case, so that any earlier answer is a gain.
    #[must_use]
    pub const fn without_floor(self) -> Self {
        Self {
            floor: time::Duration::ZERO,
            ..self
        }
    }

    /// Returns the time with which a target is compared that is expected to answer after
    /// `expected`.
    #[must_use]
    pub fn apply(self, expected: time::Duration) -> time::Duration {
        expected.max(self.floor) + self.penalty
    }
}
