//! How a node behaves when it is cut off.

use std::time;

use pier_types::times;

use crate::members;

/// Decides from a node's connections what it may do; see `docs/design/cut-off-node.md`.
///
/// A data centre whose nodes hear one another goes on serving without the platform for an
/// unlimited time. A node that hears neither the platform nor a peer cannot learn that its data
/// centre was taken out of service or that a target is leaving. If no target answers it either,
/// the node itself is cut off: it reports not ready at once and takes no new work after a few
/// seconds. If targets answer it, the other nodes are probably gone, and it goes on until its
/// slot may have been given to another node.
///
/// ```
/// use pier_limits::members;
/// use pier_types::times;
///
/// let policy = members::IsolationPolicy::default();
/// let facts = members::IsolationFacts::default();
/// let state = policy.state(&facts, times::BootTime::from_millis(60_000));
/// assert_eq!(state.level, members::IsolationLevel::PlatformAway);
/// assert!(!state.one_time);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IsolationPolicy {
    /// The platform or the peers count as unreachable after nothing was heard from them for this
    /// long.
    pub away_after: time::Duration,
    /// No new work is taken after neither the platform nor a peer was heard from for this long.
    pub stop_after: time::Duration,
    /// The same for a node that targets answer. It is at most the time that a new node waits
    /// before it uses a slot.
    pub survivor_stop_after: time::Duration,
}

impl Default for IsolationPolicy {
    fn default() -> Self {
        Self {
            away_after: time::Duration::from_secs(3),
            stop_after: time::Duration::from_secs(5),
            survivor_stop_after: time::Duration::from_mins(2),
        }
    }
}

impl IsolationPolicy {
    /// Returns what the node may do now.
    ///
    /// A node that the lease record names as the only one of its data centre is never
    /// [`members::IsolationLevel::Alone`]: it is the whole data centre, which has to go on
    /// serving.
    pub fn state(
        &self,
        facts: &members::IsolationFacts,
        now: times::BootTime,
    ) -> members::IsolationState {
        let is_recent = |at: Option<times::BootTime>, limit: time::Duration| {
            at.is_some_and(|at| now.since(at) <= limit)
        };
        if is_recent(facts.platform_at, self.away_after) {
            return state(members::IsolationLevel::Connected, true, true);
        }
        if !facts.has_peers || is_recent(facts.peer_at, self.away_after) {
            return state(members::IsolationLevel::PlatformAway, true, true);
        }
        let latest = facts.platform_at.max(facts.peer_at);
        let (limit, ready) = if facts.sees_targets {
            (self.survivor_stop_after, true)
        } else {
            (self.stop_after, false)
        };
        let new_work = is_recent(latest, limit);
        state(members::IsolationLevel::Alone, ready && new_work, new_work)
    }
}

const fn state(
    level: members::IsolationLevel,
    ready: bool,
    new_work: bool,
) -> members::IsolationState {
    members::IsolationState {
        level,
        ready,
        new_work,
        one_time: matches!(level, members::IsolationLevel::Connected),
    }
}
