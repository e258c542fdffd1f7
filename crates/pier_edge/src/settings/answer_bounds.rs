//! Limits on the answers that wait for their callers.

use pier_types::sizes;

/// Part of the node's memory that answers may take by default.
const MEMORY_DIVISOR: u64 = 4;

/// Default of [`AnswerBounds::least_rate`], in bytes a second.
const LEAST_RATE: u64 = 16 << 10;

/// Limits on the answers that a node holds until their callers have taken them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerBounds {
    /// Memory for all answers, streams included.
    pub budget: sizes::ByteSize,
    /// Bytes a second below which a caller's answer is ended before others when the budget is used
    /// up.
    pub least_rate: sizes::ByteSize,
}

impl AnswerBounds {
    /// Returns the limits of a node that may use this much memory, if the settings state none.
    pub fn of_memory(memory: sizes::ByteSize) -> Self {
        Self {
            budget: sizes::ByteSize::new(memory.get() / MEMORY_DIVISOR),
            least_rate: sizes::ByteSize::new(LEAST_RATE),
        }
    }
}
