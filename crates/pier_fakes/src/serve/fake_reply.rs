//! A reply of a fake server.

use std::fmt;

use bytes::Bytes;
use tokio::sync::mpsc;

/// The body of a reply.
pub(crate) enum FakeBody {
    /// A body that is complete from the start.
    Whole(Bytes),
    /// A body whose chunks are sent as they are produced.
    Stream(mpsc::Receiver<Bytes>),
}

impl fmt::Debug for FakeBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Whole(bytes) => write!(f, "Whole({} bytes)", bytes.len()),
            Self::Stream(_receiver) => f.write_str("Stream"),
        }
    }
}

/// Status, headers and body of a reply.
#[derive(Debug)]
pub(crate) struct FakeReply {
    /// The HTTP status.
    pub status: u16,
    /// Headers other than those that the HTTP server adds.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: FakeBody,
}

impl FakeReply {
    /// Creates a reply without a body.
    pub(crate) fn status(status: u16) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: FakeBody::Whole(Bytes::new()),
        }
    }

    /// Creates a reply with a JSON body.
    pub(crate) fn json(status: u16, value: &serde_json::Value) -> Self {
        Self::status(status)
            .header("Content-Type", "application/json")
            .body(FakeBody::Whole(value.to_string().into()))
    }

    /// Creates a reply that streams server-sent events.
    pub(crate) fn events(receiver: mpsc::Receiver<Bytes>) -> Self {
        Self::status(200)
            .header("Content-Type", "text/event-stream")
            .header("Cache-Control", "no-cache")
            .body(FakeBody::Stream(receiver))
    }

    /// Adds a header.
    #[must_use]
    pub(crate) fn header(mut self, name: &'static str, value: impl fmt::Display) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Sets the body.
    #[must_use]
    pub(crate) fn body(mut self, body: FakeBody) -> Self {
        self.body = body;
        self
    }
}
