//! Finds out how the end of an answer's body is marked.

use hyper::body::{Body as _, Incoming};
use pier_request::attempts;

/// Returns the framing of an answer whose body has not been read yet.
pub(super) fn framing_of(head: &http::response::Parts, body: &Incoming) -> attempts::BodyFraming {
    if body.size_hint().exact().is_some() {
        attempts::BodyFraming::Length
    } else if head.headers.contains_key(http::header::TRANSFER_ENCODING) {
        attempts::BodyFraming::Chunked
    } else {
        attempts::BodyFraming::UntilClose
    }
}
