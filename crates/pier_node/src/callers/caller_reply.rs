//! The answer to a caller.

use bytes::Bytes;
use pier_types::codes;
use tokio::sync::mpsc;

use crate::callers;

/// Content type of server-sent events.
pub const EVENT_STREAM: &str = "text/event-stream";

/// The answer to one request: a head and a body that may still be growing.
#[derive(Debug)]
pub struct CallerReply {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// The result code when this is a refusal or failure.
    pub code: Option<codes::ResultCode>,
    /// What is known of the request when there is a result code.
    pub outcome: codes::RunOutcome,
    /// The body.
    pub body: ReplyBody,
}

/// The body of an answer.
#[derive(Debug)]
pub enum ReplyBody {
    /// Known whole.
    Buffered(Bytes),
    /// Arrives part by part; ends when the sender is gone. A part is never lost or reordered.
    Stream(mpsc::Receiver<Bytes>),
}

impl CallerReply {
    /// Makes an answer whose body is known whole.
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

    /// Makes a streamed answer of server-sent events.
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
