//! Splits a stream's bytes into server-sent events.

use bytes::BytesMut;

/// Bytes that are scanned again when more arrive, since an event's end may be split.
const MAX_SPLIT_END: usize = 2;

/// Buffers bytes until an event is complete, since a target may stop in the middle of one.
///
/// Lines end with LF, CRLF or CR.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buffer: BytesMut,
    /// Length of the buffer's beginning that is known to hold no end of an event.
    searched: usize,
}

/// One or more complete events, with the comments between them.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct WholeEvents {
    /// The bytes of the events, unchanged.
    pub bytes: bytes::Bytes,
    /// Id of the last event that has one.
    pub last_id: Option<String>,
    /// Number of events; zero if there are only comments.
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
            count += u32::from(has_field(&self.buffer[end..at]));
            end = at;
        }
        self.searched = self.buffer.len().saturating_sub(MAX_SPLIT_END).max(end) - end;
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

    /// Returns the number of bytes after the last complete event.
    pub(super) fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether the bytes so far end inside an event.
    pub(super) fn is_inside_event(&self) -> bool {
        has_field(&self.buffer)
    }

    /// Takes the bytes after the last complete event.
    pub(super) fn take_rest(&mut self) -> bytes::Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }
}

/// Returns the length of the first event with its blank line, if it is complete.
fn event_end(bytes: &[u8]) -> Option<usize> {
    (1..bytes.len()).find_map(|at| match (bytes[at - 1], bytes[at]) {
        (b'\n', b'\n') | (b'\r', b'\r') => Some(at + 1),
        (b'\n', b'\r') if bytes.get(at + 1) == Some(&b'\n') => Some(at + 2),
        _ => None,
    })
}

/// Returns whether one of the lines is neither blank nor a comment.
fn has_field(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|byte| is_line_end(*byte));
    lines.any(|line| line.first().is_some_and(|first| *first != b':'))
}

const fn is_line_end(byte: u8) -> bool {
    byte == b'\n' || byte == b'\r'
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| is_line_end(*byte));
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next_back()?;
    let text = std::str::from_utf8(id).ok()?;
    Some(text.trim().to_owned())
}
