//! Decides when this node claims the role of steward.

use std::time;

use pier_types::{ids, times};

use crate::stewards;

/// Silence of the recorded steward after which a node of its data centre claims the role.
const LOCAL_CLAIM_DELAY: time::Duration = time::Duration::from_millis(300);

/// Time after which the role of a steward is claimed whose process has ended for certain. Nodes that
/// have started together hear of each other within it, so that only the first of them claims.
const ENDED_CLAIM_DELAY: time::Duration = time::Duration::from_millis(100);

/// Silence after which a node of another data centre claims the role. It is much longer because
/// local nodes that are silent are usually partitioned and still planning, or about to restart.
const REMOTE_CLAIM_DELAY: time::Duration = time::Duration::from_secs(8);

/// Pause between two attempts to write the record.
const CLAIM_RETRY_PAUSE: time::Duration = time::Duration::from_millis(700);

/// Elects the steward of one data centre on behalf of one node.
///
/// A record on the platform names the steward. Whether the steward is alive is judged from the
/// nodes' heartbeats, so the record needs no renewal. Two nodes may briefly both act as steward.
/// This is harmless: each order names the number of orders that its VM must have taken, so of two
/// orders for the same state only one is carried out.
#[derive(Debug, Clone)]
pub struct StewardElection {
    node: ids::NodeName,
    is_local: bool,
    vacant_since: Option<times::BootTime>,
    claimed_at: Option<times::BootTime>,
}

impl StewardElection {
    /// Creates the election of a data centre; `is_local` tells whether `node` is in that data
    /// centre.
    pub const fn new(node: ids::NodeName, is_local: bool) -> Self {
        Self {
            node,
            is_local,
            vacant_since: None,
            claimed_at: None,
        }
    }

    /// Returns whether the record names this node.
    pub fn holds(&self, view: &stewards::StewardView) -> bool {
        view.recorded
            .as_ref()
            .is_some_and(|recorded| recorded.holder == self.node)
    }

    /// Returns whether this node should write itself into the record now.
    pub fn should_claim(&mut self, view: &stewards::StewardView, now: times::BootTime) -> bool {
        if self.has_live_steward(view) {
            self.vacant_since = None;
            return false;
        }
        let vacant_since = *self.vacant_since.get_or_insert(now);
        if !self.is_next(view) {
            return false;
        }
        let delay = match (&view.recorded, self.is_local) {
            (None, true) => time::Duration::ZERO,
            (Some(_ended), true) if view.has_ended => ENDED_CLAIM_DELAY,
            (Some(_silent), true) => LOCAL_CLAIM_DELAY,
            (_, false) => REMOTE_CLAIM_DELAY,
        };
        let may_retry = self
            .claimed_at
            .is_none_or(|at| now.since(at) >= CLAIM_RETRY_PAUSE);
        if now.since(vacant_since) < delay || !may_retry {
            return false;
        }
        self.claimed_at = Some(now);
        true
    }

    /// Returns whether the recorded steward is alive.
    fn has_live_steward(&self, view: &stewards::StewardView) -> bool {
        let Some(recorded) = &view.recorded else {
            return false;
        };
        recorded.holder == self.node
            || view.is_claimed
            || view.local.contains(&recorded.holder)
            || (view.local.is_empty() && view.remote.contains(&recorded.holder))
    }

    /// Returns whether this node is the first by name among the live nodes that may take over, or
    /// among those of them that are preferred.
    fn is_next(&self, view: &stewards::StewardView) -> bool {
        let nodes = if self.is_local {
            &view.local
        } else if view.local.is_empty() {
            &view.remote
        } else {
            return false;
        };
        let mut preferred = nodes.intersection(&view.preferred);
        let first = preferred.next().or_else(|| nodes.first());
        first == Some(&self.node)
    }
}
