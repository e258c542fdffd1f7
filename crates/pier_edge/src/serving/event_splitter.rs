//! Splits a stream's bytes into server-sent events.

use bytes::BytesMut;

/// Buffers bytes until an event is complete, since a target may stop in the middle of one.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buffer: BytesMut,
    /// Length of the buffer's beginning that is known to hold no end of an event.
    searched: usize,
}

/// One or more complete events.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct WholeEvents {
    /// The bytes of the events, unchanged.
    pub bytes: bytes::Bytes,
    /// Id of the last event that has one.
    pub last_id: Option<String>,
    /// Number of events.
    pub count: u32,
}

impl EventSplitter {
    /// Adds bytes and returns the events that they complete.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Option<WholeEvents> {
        self.buffer.extend_from_slice(bytes);
        let mut end = 0;
        let mut count = 0;
        let mut at = self.searched;
        while let Some(found) = event_end(&self.buffer[at..]) {
            at += found;
            end = at;
            count += 1;
        }
        self.searched = self.buffer.len().saturating_sub(3).max(end) - end;
        if end == 0 {
            return None;
        }
        let whole = self.buffer.split_to(end).freeze();
        let last_id = last_id(&whole);
        Some(WholeEvents {
            bytes: whole,
            last_id,
            count,
        })
    }

    /// Takes the bytes after the last complete event.
    pub(super) fn take_rest(&mut self) -> bytes::Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }
}

/// Returns the length of the first event with its blank line, if it is complete.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let lf = find(bytes, b"\n\n").map(|at| at + 2);
    let crlf = find(bytes, b"\r\n\r\n").map(|at| at + 4);
    match (lf, crlf) {
        (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
        (lf, crlf) => lf.or(crlf),
    }
}

fn find(bytes: &[u8], separator: &[u8]) -> Option<usize> {
    bytes
        .windows(separator.len())
        .position(|window| window == separator)
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next_back()?;
    let text = std::str::from_utf8(id).ok()?;
    Some(text.trim().to_owned())
}
