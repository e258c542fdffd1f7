//! What a target's answer says of itself.

use std::time;

/// The parts of an answer's head that decide what becomes of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// Whether the target says that it has not run the request and never will.
    pub is_not_run: bool,
    /// Whether the answer bears the target's mark and belongs to the attempt that was sent.
    pub is_genuine: bool,
    /// Whether the connection ends with the answer.
    pub closes: bool,
    /// How long the target keeps the connection idle.
    pub idle_time: Option<time::Duration>,
}
