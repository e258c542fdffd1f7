//! A complete answer held in memory.

use bytes::Bytes;
use pier_request::claims;

use crate::callers;

/// A target's complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct BufferedAnswer {
    /// The HTTP status.
    pub(super) status: u16,
    /// The content type.
    pub(super) content_type: String,
    /// The body.
    pub(super) body: Bytes,
}

impl BufferedAnswer {
    /// Returns the form that is stored in a claim record.
    pub(super) fn to_stored(&self) -> claims::StoredAnswer {
        claims::StoredAnswer {
            status: self.status,
            content_type: self.content_type.clone(),
            body: claims::StoredBody::of(&self.body),
        }
    }

    /// Returns the answer to the caller.
    pub(super) fn into_reply(self) -> callers::CallerReply {
        callers::CallerReply::buffered(self.status, self.content_type, self.body)
    }
}

impl From<&callers::ErrorBody> for BufferedAnswer {
    fn from(error: &callers::ErrorBody) -> Self {
        Self {
            status: error.code.http_status(),
            content_type: "application/json".to_owned(),
            body: error.to_json().into(),
        }
    }
}
