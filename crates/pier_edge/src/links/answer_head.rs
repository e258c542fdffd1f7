//! The head of a target's answer.

use std::time;

use pier_types::rates;

/// The parts of an answer's head that decide how the answer is handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// Whether the target states that it has not run the request and never will.
    pub is_not_run: bool,
    /// Whose answer it is.
    pub origin: AnswerOrigin,
    /// Whether it names the attempt that was sent, with or without the target's mark.
    pub names_attempt: bool,
    /// Whether the target announces that it leaves.
    pub notice: TargetNotice,
    /// Whether the target states how many requests it takes from all nodes together.
    pub limit: LimitStatement,
    /// How long the target asks this node to send it nothing, after it rejected this request.
    pub pause: Option<time::Duration>,
    /// Whether the target closes the connection after the answer.
    pub closes: bool,
    /// How long the target keeps an idle connection open, if it states that.
    pub idle_time: Option<time::Duration>,
}

impl AnswerHead {
    /// Returns whether the answer carries the target's mark and belongs to the attempt that was sent.
    pub fn is_genuine(&self) -> bool {
        self.origin == AnswerOrigin::Target
    }
}

/// Whose answer an answer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum AnswerOrigin {
    /// It does not prove that it is the target's answer to the attempt.
    #[default]
    Unproved,
    /// It carries the target's mark and belongs to the attempt that was sent.
    Target,
    /// It states that it belongs to another attempt: a second copy of an earlier answer on the
    /// connection, which says nothing about the request.
    OtherAttempt,
}

/// What a target's answer states about the requests that it takes from all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LimitStatement {
    /// It states no limit.
    #[default]
    Unlimited,
    /// It takes this many.
    Rate(rates::RequestMilliRate),
    /// It states something that is no rate.
    Unreadable,
}

/// Whether a target's answer announces that it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum TargetNotice {
    /// No announcement.
    #[default]
    Staying,
    /// It leaves, and is to get no further request.
    Leaving,
}
