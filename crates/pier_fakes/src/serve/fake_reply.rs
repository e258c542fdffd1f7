//! One reply of a stand-in.

use std::fmt;

use bytes::Bytes;
use tokio::sync::mpsc;

/// The body of a reply.
pub(crate) enum FakeBody {
    /// Known whole.
    Whole(Bytes),
    /// Sent part by part as it is made.
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
    /// Headers beside those of the connection.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: FakeBody,
}

impl FakeReply {
    /// Makes a reply without a body.
    pub(crate) fn status(status: u16) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: FakeBody::Whole(Bytes::new()),
        }
    }

    /// Makes a reply with a JSON body.
    pub(crate) fn json(status: u16, value: &serde_json::Value) -> Self {
        Self::status(status)
            .header("Content-Type", "application/json")
            .body(FakeBody::Whole(value.to_string().into()))
    }

    /// Makes a reply that sends server-sent events as they come.
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
