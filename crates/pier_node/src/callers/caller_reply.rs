//! The answer to a caller.

use bytes::Bytes;
use pier_types::codes;
use tokio::sync::mpsc;

use crate::callers;

/// Content type of server-sent events.
pub const EVENT_STREAM: &str = "text/event-stream";

/// The answer to one request: a head and a body that may be a stream.
#[derive(Debug)]
pub struct CallerReply {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Retry-after hint in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// The result code of a refusal or failure.
    pub code: Option<codes::ResultCode>,
    /// Whether the request ran, as far as is known; meaningful only with a result code.
    pub outcome: codes::RunOutcome,
    /// The body.
    pub body: ReplyBody,
}

/// The body of an answer.
#[derive(Debug)]
pub enum ReplyBody {
    /// A complete body.
    Buffered(Bytes),
    /// A body that arrives in parts, in order and without loss; it ends when the sender is dropped.
    Stream(mpsc::Receiver<Bytes>),
}

impl CallerReply {
    /// Creates an answer with a complete body.
    pub fn buffered(status: u16, content_type: impl Into<String>, body: Bytes) -> Self {
        Self {
            status,
            content_type: content_type.into(),
            retry_after_ms: None,
            code: None,
            outcome: codes::RunOutcome::Unknown,
            body: ReplyBody::Buffered(body),
        }
    }

    /// Creates a streamed answer of server-sent events.
    pub fn events(parts: mpsc::Receiver<Bytes>) -> Self {
        Self {
            status: 200,
            content_type: EVENT_STREAM.to_owned(),
            retry_after_ms: None,
            code: None,
            outcome: codes::RunOutcome::Unknown,
            body: ReplyBody::Stream(parts),
        }
    }
}

impl From<callers::ErrorBody> for CallerReply {
    fn from(error: callers::ErrorBody) -> Self {
        Self {
            status: error.code.http_status(),
            content_type: "application/json".to_owned(),
            retry_after_ms: error.retry_after_ms,
            code: Some(error.code),
            outcome: error.outcome,
            body: ReplyBody::Buffered(error.to_json().into()),
        }
    }
}
