//! How long a node relies on its steward.

use std::time;

use crate::records;

/// Time without a relay message after which a node reads the store itself.
const RELAY_LIFETIME: time::Duration = time::Duration::from_millis(600);

/// Age of the store's last answer to the steward from which on the steward counts as cut off. It is
/// more than a watch of a steward takes, and well under the shortest time within which all nodes
/// have to know that a target is leaving.
pub(crate) const MAX_STORE_AGE: time::Duration = time::Duration::from_millis(1_300);

/// Time that a node needs to read the store itself after it has stopped following its steward.
const READ_TIME: time::Duration = time::Duration::from_millis(1_200);

/// Time over which the nodes of a data centre stop following a steward that is cut off, so that they
/// do not all read the store at once.
const SPREAD_TIME: time::Duration = time::Duration::from_millis(500);

/// How long a node relies on its steward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct FollowLimits {
    /// Time without a relay message.
    pub silence: time::Duration,
    /// Age of what the steward knows of the store.
    pub store_age: time::Duration,
}

impl FollowLimits {
    /// Limits of the nodes that replace a steward, and of all nodes of a small fleet.
    pub(crate) const SHORT: Self = Self {
        silence: RELAY_LIFETIME,
        store_age: MAX_STORE_AGE,
    };

    /// Returns the limits of the other nodes of a large fleet, which leave the time to replace a
    /// steward within `leaving`, the time in which all nodes have to know that a target leaves.
    /// `draw` is a number from 0 to 1 that differs between nodes.
    pub(crate) fn patient(leaving: time::Duration, draw: f64) -> Self {
        let spread = SPREAD_TIME.mul_f64(draw.clamp(0.0, 1.0));
        let store_age = leaving
            .saturating_sub(READ_TIME)
            .saturating_sub(spread)
            .max(MAX_STORE_AGE);
        Self {
            // While nothing changes, the store's last answer is as old as a watch waits.
            silence: store_age
                .saturating_sub(records::RELAY_WATCH_TIMEOUT)
                .max(RELAY_LIFETIME),
            store_age,
        }
    }
}
