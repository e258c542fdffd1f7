//! The frames of an answer.

use pier_types::codes;
use serde::{Deserialize, Serialize};

use crate::frames;

/// A frame of an answer; a stream that ends before `Done` or `Failed` was interrupted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerFrame {
    /// Status and headers; the first frame of an answer.
    Head(AnswerHead),
    /// A chunk of the body.
    Chunk(frames::BodyChunk),
    /// The answer is complete.
    Done,
    /// The request failed, or the answer ends early.
    Failed(AnswerFailure),
}

/// Status and headers of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// The HTTP status.
    pub status: u16,
    /// The headers that are forwarded to the caller.
    pub headers: Vec<frames::ForwardHeader>,
}

/// Why a request failed, and whether it ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerFailure {
    /// The result code.
    pub code: codes::ResultCode,
    /// Whether the request ran.
    pub outcome: codes::RunOutcome,
    /// Time after which a retry may succeed, in milliseconds.
    pub retry_after_ms: Option<u32>,
}
