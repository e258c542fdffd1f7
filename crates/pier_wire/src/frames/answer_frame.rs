//! What comes back on a stream.

use pier_types::codes;
use serde::{Deserialize, Serialize};

use crate::frames;

/// One step of an answer; a stream that ends before `Done` or `Failed` was cut.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerFrame {
    /// The answer begins.
    Head(AnswerHead),
    /// A piece of its body.
    Chunk(frames::BodyChunk),
    /// The answer is whole.
    Done,
    /// There is no answer, or no more of it.
    Failed(AnswerFailure),
}

/// Status and headers of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// The HTTP status.
    pub status: u16,
    /// Headers that are passed on.
    pub headers: Vec<frames::ForwardHeader>,
}

/// Why an answer failed, and whether the request ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerFailure {
    /// The numbered result.
    pub code: codes::ResultCode,
    /// Whether the request had run.
    pub outcome: codes::RunOutcome,
    /// When coming back can help, in milliseconds.
    pub retry_after_ms: Option<u32>,
}
