//! Keeps a streamed answer while it is relayed.

use bytes::Bytes;

/// Most bytes that are kept; a larger answer does not fit into a claim.
const KEPT_LIMIT: usize = 800_000;

/// The parts of an answer so far, unless they became too many.
#[derive(Debug, Default)]
pub(super) struct AnswerStore {
    bytes: Vec<u8>,
    is_over: bool,
}

impl AnswerStore {
    /// Adds a part.
    pub(super) fn add(&mut self, part: &[u8]) {
        if self.bytes.len() + part.len() > KEPT_LIMIT {
            self.is_over = true;
            self.bytes = Vec::new();
        }
        if !self.is_over {
            self.bytes.extend_from_slice(part);
        }
    }

    /// Returns the whole answer, if it was not too large.
    pub(super) fn into_bytes(self) -> Option<Bytes> {
        (!self.is_over).then(|| self.bytes.into())
    }
}
