//! Splits a target's stream into events.

use bytes::{Buf as _, Bytes, BytesMut};

/// Maximum size of one event in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// Reads server-sent events from an answer as they arrive.
#[derive(Debug)]
pub(super) struct EventReader {
    answer: reqwest::Response,
    buffer: BytesMut,
    scanned: usize,
}

impl EventReader {
    /// Creates a reader of an answer whose head has been read.
    pub(super) fn new(answer: reqwest::Response) -> Self {
        Self {
            answer,
            buffer: BytesMut::new(),
            scanned: 0,
        }
    }

    /// Returns the next event without its blank line, or `None` at the end of the answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or an event is over [`MAX_EVENT_BYTES`].
    pub(super) async fn next(&mut self) -> anyhow::Result<Option<Bytes>> {
        loop {
            if let Some(event) = self.split_event() {
                return Ok(Some(event));
            }
            anyhow::ensure!(
                self.buffer.len() <= MAX_EVENT_BYTES,
                "an event is too large"
            );
            let Some(part) = self.answer.chunk().await? else {
                return Ok(None);
            };
            self.buffer.extend_from_slice(&part);
        }
    }

    fn split_event(&mut self) -> Option<Bytes> {
        let unseen = self.buffer.get(self.scanned..)?;
        let found = unseen
            .windows(EVENT_END.len())
            .position(|window| window == EVENT_END);
        let Some(offset) = found else {
            // The last byte may be the first half of the blank line.
            self.scanned = self.buffer.len().saturating_sub(1);
            return None;
        };
        let event = self.buffer.split_to(self.scanned + offset);
        self.buffer.advance(EVENT_END.len());
        self.scanned = 0;
        Some(event.freeze())
    }
}
