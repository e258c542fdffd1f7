//! Why a forwarded request got no answer.

use std::{error, fmt};

use pier_types::codes;
use pier_wire::frames;

/// Why a forwarded request got no answer, and whether it may have run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ForwardError {
    /// The other node cannot have dispatched the request; another one may be tried.
    NotSent {
        /// What went wrong.
        cause: String,
    },
    /// The other node may have dispatched the request.
    Lost {
        /// What went wrong.
        cause: String,
    },
    /// The other node answered with a refusal or a failure.
    Refused(frames::AnswerFailure),
}

impl ForwardError {
    /// Returns whether the request ran, as far as is known.
    pub fn outcome(&self) -> codes::RunOutcome {
        match self {
            Self::NotSent { .. } => codes::RunOutcome::NotRun,
            Self::Lost { .. } => codes::RunOutcome::Unknown,
            Self::Refused(failure) => failure.outcome,
        }
    }
}

impl fmt::Display for ForwardError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent { cause } => write!(f, "the request was not passed on: {cause}"),
            Self::Lost { cause } => write!(f, "the node that took the request was lost: {cause}"),
            Self::Refused(failure) => write!(f, "refused: {}", failure.code.meaning()),
        }
    }
}

impl error::Error for ForwardError {}
