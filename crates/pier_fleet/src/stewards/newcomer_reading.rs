//! Decides what a node that has just started reads of the store itself.

use std::time;

/// How long a node waits after its start for a steward to follow, before it reads and watches the
/// store like a node without one. Elections end well within it.
const STEWARD_WAIT: time::Duration = time::Duration::from_millis(1_500);

/// How long a node that knows the others waits for a sign of a living steward. A steward answers
/// the first heartbeat of a node at once, so that this is many round trips.
const CONTACT_WAIT: time::Duration = time::Duration::from_millis(100);

/// How long a node waits at the first start of the fleet, in which all nodes write their records.
const FIRST_START_WAIT: time::Duration = time::Duration::from_millis(600);

/// What a node that has started knows so far of its fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewcomerFacts {
    /// Time since the node started.
    pub running_for: time::Duration,
    /// Time since the nodes' records were read; `None` before.
    pub nodes_read_for: Option<time::Duration>,
    /// Whether the fleet is so large that its nodes follow stewards.
    pub is_large: bool,
    /// Whether the whole fleet starts for the first time.
    pub is_first_start: bool,
    /// Whether the node has read the records in question.
    pub is_read: bool,
}

/// What a node that follows no steward does next about one kind of records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NewcomerStep {
    /// It waits for a steward.
    Wait,
    /// It reads the store itself.
    Read,
}

/// Returns what a node does that follows no steward.
///
/// A node of a large fleet reads from the steward of its data centre. If all nodes have ended
/// together, the recorded stewards are gone too, and the election takes longer than a read of the
/// store: then each node reads the store once, serves what it has read, and leaves it to the next
/// steward to watch the store.
pub fn newcomer_step(facts: &NewcomerFacts) -> NewcomerStep {
    if facts.running_for >= STEWARD_WAIT {
        return NewcomerStep::Read;
    }
    if facts.is_first_start && facts.running_for < FIRST_START_WAIT {
        return NewcomerStep::Wait;
    }
    let Some(nodes_read_for) = facts.nodes_read_for else {
        return NewcomerStep::Wait;
    };
    if !facts.is_large {
        return NewcomerStep::Read;
    }
    // At the first start there is nothing to serve yet, and the election follows at once.
    let may_read = !facts.is_first_start && !facts.is_read && nodes_read_for >= CONTACT_WAIT;
    if may_read {
        NewcomerStep::Read
    } else {
        NewcomerStep::Wait
    }
}
