//! What a caller may send.

use std::time;

use pier_types::sizes;

/// Bounds on what callers send and how long they take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub head_size: sizes::ByteSize,
    /// Most bytes of a request's body.
    pub body_size: sizes::ByteSize,
    /// Longest time for a request's head.
    pub head_time: time::Duration,
    /// Longest time that a connection may stay idle.
    pub idle_time: time::Duration,
}

impl Default for CallerLimits {
    /// Returns what holds until the first document is known.
    fn default() -> Self {
        Self {
            head_size: sizes::ByteSize::new(16_384),
            body_size: sizes::ByteSize::new(4_194_304),
            head_time: time::Duration::from_secs(3),
            idle_time: time::Duration::from_secs(15),
        }
    }
}
