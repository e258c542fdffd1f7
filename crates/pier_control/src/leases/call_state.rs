//! The calls in progress and the times of the next ones.

use std::time;

use pier_types::{ids, times};

/// The state of the keeper's calls on the lease object.
#[derive(Debug, Clone, Default)]
pub(super) struct CallState {
    /// When the read in progress was sent.
    pub reading_since: Option<times::BootTime>,
    /// The nonce of the write in progress and when it was sent.
    pub writing: Option<(ids::WriteNonce, times::BootTime)>,
    /// When the next read is due.
    pub read_at: times::BootTime,
    /// The earliest time of the next write.
    pub write_at: times::BootTime,
}

impl CallState {
    /// Drops calls that timed out. After a write timed out, a read is due at once.
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
