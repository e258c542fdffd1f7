//! A body that records when the HTTP library has taken it.

use std::{pin, task};

use hyper::body::{Body, Frame, SizeHint};

use super::open_answers;
use crate::serving;

/// An answer's body with its mark.
#[derive(Debug)]
pub(super) struct MarkedBody {
    body: serving::EdgeBody,
    _mark: open_answers::BodyMark,
}

impl MarkedBody {
    pub(super) const fn new(body: serving::EdgeBody, mark: open_answers::BodyMark) -> Self {
        Self { body, _mark: mark }
    }
}

impl Body for MarkedBody {
    type Data = bytes::Bytes;
    type Error = serving::StreamCut;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        pin::Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
