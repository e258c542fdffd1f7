//! Finds out how the end of an answer's body is marked.

use hyper::body::{Body as _, Incoming};
use pier_request::attempts;

/// Returns the framing of an answer whose body has not been read yet.
pub(super) fn framing_of(head: &http::response::Parts, body: &Incoming) -> attempts::BodyFraming {
    let encodings = head.headers.get_all(http::header::TRANSFER_ENCODING);
    let last = encodings.iter().next_back();
    let last = last.and_then(|value| value.to_str().ok());
    attempts::BodyFraming::of(body.size_hint().exact(), last)
}
