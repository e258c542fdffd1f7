//! The body type of answers to callers.

use std::{error, fmt, pin, task};

use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::serving;

/// An answer's body: complete, or a stream that may be aborted.
#[derive(Debug)]
pub(crate) enum EdgeBody {
    Whole(serving::WholeAnswer),
    Stream {
        parts: mpsc::Receiver<StreamPart>,
        /// Set when the stream is cut, for a caller that would not see it otherwise.
        reset: Option<serving::ResetSwitch>,
    },
    /// A stream that has ended properly.
    Ended,
}

/// A part of a stream. A channel that closes without [`Self::End`] aborts the stream.
#[derive(Debug)]
pub(crate) enum StreamPart {
    Data(bytes::Bytes),
    /// The stream is complete.
    End,
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
        Self::Whole(bytes.into())
    }

    pub(crate) const fn stream(parts: mpsc::Receiver<StreamPart>) -> Self {
        Self::Stream { parts, reset: None }
    }

    /// Makes the caller's connection end with a reset if the stream is cut.
    pub(crate) fn reset_when_cut(&mut self, switch: serving::ResetSwitch) {
        if let Self::Stream { reset, .. } = self {
            *reset = Some(switch);
        }
    }
}

impl Body for EdgeBody {
    type Data = bytes::Bytes;
    type Error = StreamCut;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let this = self.get_mut();
        match this {
            Self::Whole(answer) => {
                let block = answer.next_block();
                task::Poll::Ready(block.map(|block| Ok(Frame::data(block))))
            }
            Self::Stream { parts, reset } => match task::ready!(parts.poll_recv(cx)) {
                Some(StreamPart::Data(data)) => task::Poll::Ready(Some(Ok(Frame::data(data)))),
                Some(StreamPart::End) => {
                    *this = Self::Ended;
                    task::Poll::Ready(None)
                }
                None => {
                    if let Some(reset) = reset {
                        reset.set();
                    }
                    task::Poll::Ready(Some(Err(StreamCut)))
                }
            },
            Self::Ended => task::Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(answer) => answer.len() == 0,
            Self::Stream { .. } => false,
            Self::Ended => true,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(answer) => {
                let length = u64::try_from(answer.len()).unwrap_or(u64::MAX);
                SizeHint::with_exact(length)
            }
            Self::Stream { .. } => SizeHint::default(),
            Self::Ended => SizeHint::with_exact(0),
        }
    }
}
