//! Limits on the bodies of requests.

use std::time;

use pier_types::sizes;

/// Memory that a node needs beside bodies and answers, in bytes: its program, the fleet's state and
/// what the allocator keeps.
const OWN_BYTES: u64 = 40 << 20;

/// Part of the node's memory that unfinished answers may take.
const ANSWER_DIVISOR: u64 = 4;

/// Least budget for bodies, in bytes.
const MIN_BUDGET_BYTES: u64 = 8 << 20;

/// Memory of the node for each connection of a caller, in bytes: several times what a connection
/// takes.
const CONNECTION_BYTES: u64 = 128 << 10;

/// Fewest connections that are allowed by default.
const MIN_CONNECTIONS: u32 = 512;

/// Default of [`BodyBounds::least_rate`], in bytes a second.
const LEAST_RATE: u64 = 16 << 10;

/// Limits on the bodies that a node holds, and on the connections that send them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyBounds {
    /// Memory for the bodies of all requests.
    pub budget: sizes::ByteSize,
    /// Bytes a second below which a body is ended before others when the budget is used up.
    pub least_rate: sizes::ByteSize,
    /// Time without a byte after which a body is ended; `None` is the document's idle time.
    pub quiet_time: Option<time::Duration>,
    /// Most connections of callers at a time.
    pub connections: u32,
}

impl BodyBounds {
    /// Returns the limits of a node that may use this much memory, if the settings state none.
    pub fn of_memory(memory: sizes::ByteSize) -> Self {
        let free = memory.get().saturating_sub(OWN_BYTES);
        // An eighth is left for what lies in the buffers of connections.
        let shared = free / 8 * 7;
        let budget = shared.saturating_sub(memory.get() / ANSWER_DIVISOR);
        let connections = memory.get() / CONNECTION_BYTES;
        Self {
            budget: sizes::ByteSize::new(budget.max(MIN_BUDGET_BYTES)),
            least_rate: sizes::ByteSize::new(LEAST_RATE),
            quiet_time: None,
            connections: u32::try_from(connections)
                .unwrap_or(u32::MAX)
                .max(MIN_CONNECTIONS),
        }
    }
}
