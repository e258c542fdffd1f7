//! Whether a target may have cut its answer off because it stayed unread.

use std::time;

/// Shortest pause after which a target may have cut off an answer that it could not send on.
const LEAST_PAUSE: time::Duration = time::Duration::from_secs(1);

/// Time of waiting for a target after which nothing that it had sent is left unread.
const CAUGHT_UP_TIME: time::Duration = time::Duration::from_millis(50);

/// The pauses of a node in reading an answer, while its caller takes nothing or memory is short.
///
/// An end that the target made during a pause shows only once everything before it was read.
#[derive(Debug, Clone, Copy, Default)]
pub struct UnreadPause {
    /// The longest pause since everything had been read.
    longest: time::Duration,
}

impl UnreadPause {
    /// Records how long the node did not read.
    pub fn record_pause(&mut self, pause: time::Duration) {
        self.longest = self.longest.max(pause);
    }

    /// Records how long the target let the node wait for the next part, or for the end.
    pub fn record_wait(&mut self, wait: time::Duration) {
        if wait >= CAUGHT_UP_TIME {
            self.longest = time::Duration::ZERO;
        }
    }

    /// Returns whether an end that has just shown may be the node's own fault.
    pub fn explains_end(self) -> bool {
        self.longest >= LEAST_PAUSE
    }
}
