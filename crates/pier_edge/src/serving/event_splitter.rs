//! Parts a stream's bytes into events.

use bytes::BytesMut;

/// Collects bytes until an event is whole; a target may stop in the middle of one.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buffer: BytesMut,
    /// Bytes of the buffer that hold no event's end.
    searched: usize,
}

/// One or more whole events.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct WholeEvents {
    /// Their bytes, as they came.
    pub bytes: bytes::Bytes,
    /// Id of the last one that bears one.
    pub last_id: Option<String>,
    /// How many events these are.
    pub count: u32,
}

impl EventSplitter {
    /// Adds bytes and returns the events that are whole now.
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

    /// Returns what is left behind the last whole event.
    pub(super) fn take_rest(&mut self) -> bytes::Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }
}

/// Returns the length up to the end of the first event.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let plain = find(bytes, b"\n\n").map(|at| at + 2);
    let wide = find(bytes, b"\r\n\r\n").map(|at| at + 4);
    match (plain, wide) {
        (Some(plain), Some(wide)) => Some(plain.min(wide)),
        (plain, wide) => plain.or(wide),
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
