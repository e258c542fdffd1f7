//! How the end of an answer's body is marked.

use hyper::body::{Body as _, Incoming};

/// What marks the end of an answer's body on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyFraming {
    /// The head states the length, or the answer has no body.
    Length,
    /// The body is chunked; the last chunk is empty.
    Chunked,
    /// Only the end of the connection marks the end of the body.
    UntilClose,
}

impl BodyFraming {
    /// Returns the framing of an answer whose body has not been read yet.
    pub(super) fn of(head: &http::response::Parts, body: &Incoming) -> Self {
        if body.size_hint().exact().is_some() {
            Self::Length
        } else if head.headers.contains_key(http::header::TRANSFER_ENCODING) {
            Self::Chunked
        } else {
            Self::UntilClose
        }
    }

    pub(super) const fn label(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until-close",
        }
    }
}
