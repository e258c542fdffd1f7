//! The head of a target's answer.

use std::time;

/// The parts of an answer's head that decide how the answer is handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// Whether the target states that it has not run the request and never will.
    pub is_not_run: bool,
    /// Whether the answer carries the target's mark and belongs to the attempt that was sent.
    pub is_genuine: bool,
    /// What the target states of its own future.
    pub notice: TargetNotice,
    /// How long the target wants no request from this node, which it stated when it turned this one
    /// away.
    pub pause: Option<time::Duration>,
    /// Whether the target closes the connection after the answer.
    pub closes: bool,
    /// How long the target keeps an idle connection open, if it states that.
    pub idle_time: Option<time::Duration>,
}

/// What a target's answer says of its own future.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum TargetNotice {
    /// Nothing, as in most answers.
    #[default]
    Staying,
    /// It leaves, and is to get no further request.
    Leaving,
}
