//! Buffers a streamed answer while it is relayed, so that it can be stored with its claim.

use bytes::Bytes;

/// Maximum size of a buffered answer in bytes; a larger one does not fit into a claim record.
const MAX_ANSWER_BYTES: usize = 800_000;

/// The parts of an answer received so far; emptied once they exceed [`MAX_ANSWER_BYTES`].
#[derive(Debug, Default)]
pub(super) struct AnswerBuffer {
    bytes: Vec<u8>,
    is_too_large: bool,
}

impl AnswerBuffer {
    /// Appends a part.
    pub(super) fn add(&mut self, part: &[u8]) {
        if self.bytes.len() + part.len() > MAX_ANSWER_BYTES {
            self.is_too_large = true;
            self.bytes = Vec::new();
        }
        if !self.is_too_large {
            self.bytes.extend_from_slice(part);
        }
    }

    /// Returns the complete answer, or `None` if it was too large.
    pub(super) fn into_bytes(self) -> Option<Bytes> {
        (!self.is_too_large).then(|| self.bytes.into())
    }
}
