//! The calls under way and when the next ones are due.

use std::time;

use pier_types::{ids, times};

/// The keeper's calls.
#[derive(Debug, Clone, Default)]
pub(super) struct CallState {
    /// When the read under way was sent.
    pub reading_since: Option<times::BootTime>,
    /// The nonce of the write under way and when it was sent.
    pub writing: Option<(ids::WriteNonce, times::BootTime)>,
    /// When the next read is due.
    pub read_at: times::BootTime,
    /// The earliest moment of the next write.
    pub write_at: times::BootTime,
}

impl CallState {
    /// Gives up on calls that got no answer in time; after a write so ended the object is read.
    pub fn expire(&mut self, now: times::BootTime, timeout: time::Duration) {
        let expired = |since: times::BootTime| now.since(since) >= timeout;
        if self.reading_since.is_some_and(expired) {
            self.reading_since = None;
        }
        if self.writing.is_some_and(|(_nonce, since)| expired(since)) {
            self.writing = None;
            self.read_at = now;
        }
    }
}
