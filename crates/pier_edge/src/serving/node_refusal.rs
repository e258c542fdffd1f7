//! A refusal by the node to which a request was passed on.

use std::time;

/// Name of the header that marks an answer as a node's own refusal.
pub(super) const REFUSAL_HEADER: &str = "pier-refusal";

/// Another node's refusal of a request that this node passed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct NodeRefusal {
    pub status: http::StatusCode,
    pub retry_after: Option<time::Duration>,
    /// The cause that the node states.
    pub label: String,
}

/// What another node's refusal means for the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RefusalMeaning {
    /// The node sent the request to no target, for a reason of its own.
    NotSent,
    /// Targets refused the request, and it has not run.
    NotRun,
    /// The request has not run, and no other node would take it either.
    Final,
    /// The request may have run.
    MayHaveRun,
    /// The time for the answer is over; the request may have run.
    TimedOut,
}

impl NodeRefusal {
    /// Reads a refusal from an answer's head; `None` for the answer of a target.
    pub(super) fn read(head: &http::response::Parts) -> Option<Self> {
        let label = head.headers.get(REFUSAL_HEADER)?;
        let retry_after = head.headers.get(http::header::RETRY_AFTER);
        let seconds = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
        Some(Self {
            status: head.status,
            retry_after: seconds
                .and_then(|seconds| time::Duration::try_from_secs_f64(seconds).ok()),
            label: label.to_str().unwrap_or_default().to_owned(),
        })
    }

    /// Returns what the refusal means; an unknown label means that the request may have run.
    pub(super) fn meaning(&self) -> RefusalMeaning {
        match self.label.as_str() {
            "no-document" | "no-route" | "bad-key" | "no-target" | "body-too-large"
            | "body-too-slow" | "too-many-forwards" | "unreadable-forward" => {
                RefusalMeaning::NotSent
            }
            "not-run" => RefusalMeaning::NotRun,
            "overloaded" | "paused" | "held-back" => RefusalMeaning::Final,
            "timed-out" => RefusalMeaning::TimedOut,
            _ => RefusalMeaning::MayHaveRun,
        }
    }
}
