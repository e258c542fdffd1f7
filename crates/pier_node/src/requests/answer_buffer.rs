//! Keeps a streamed answer while it is relayed.

use bytes::Bytes;

/// Most bytes that are kept; a larger answer does not fit into a claim.
const MAX_ANSWER_BYTES: usize = 800_000;

/// The parts of an answer so far, unless they became too many.
#[derive(Debug, Default)]
pub(super) struct AnswerBuffer {
    bytes: Vec<u8>,
    is_too_large: bool,
}

impl AnswerBuffer {
    /// Adds a part.
    pub(super) fn add(&mut self, part: &[u8]) {
        if self.bytes.len() + part.len() > MAX_ANSWER_BYTES {
            self.is_too_large = true;
            self.bytes = Vec::new();
        }
        if !self.is_too_large {
            self.bytes.extend_from_slice(part);
        }
    }

    /// Returns the whole answer, if it was not too large.
    pub(super) fn into_bytes(self) -> Option<Bytes> {
        (!self.is_too_large).then(|| self.bytes.into())
    }
}
