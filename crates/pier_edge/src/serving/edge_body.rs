//! The body type of answers to callers.

use std::{error, fmt, pin, task};

use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// An answer's body: complete, or a stream that may be aborted.
#[derive(Debug)]
pub(crate) enum EdgeBody {
    Whole(Full<bytes::Bytes>),
    Stream(mpsc::Receiver<Result<bytes::Bytes, StreamCut>>),
}

/// The error that aborts a stream: the connection is closed without a proper end of the body, so
/// that the caller can tell that the answer is incomplete.
#[derive(Debug)]
pub(crate) struct StreamCut;

impl fmt::Display for StreamCut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stream was interrupted and cannot be resumed")
    }
}

impl error::Error for StreamCut {}

impl EdgeBody {
    pub(crate) fn whole(bytes: bytes::Bytes) -> Self {
        Self::Whole(Full::new(bytes))
    }
}

impl Body for EdgeBody {
    type Data = bytes::Bytes;
    type Error = StreamCut;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        match self.get_mut() {
            Self::Whole(body) => pin::Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Stream(parts) => parts
                .poll_recv(cx)
                .map(|part| part.map(|part| part.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
