//! Limits on callers.

use std::time;

use pier_types::sizes;
use serde::{Deserialize, Serialize};

/// Limits on the size and duration of what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub head_size: sizes::ByteSize,
    /// Largest request body, in bytes.
    pub body_size: sizes::ByteSize,
    /// Time limit for receiving a request's head.
    pub head_time: time::Duration,
    /// Time limit for an idle connection.
    pub idle_time: time::Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until the first document is read.
    fn default() -> Self {
        Self {
            head_size: sizes::ByteSize::new(16_384),
            body_size: sizes::ByteSize::new(4_194_304),
            head_time: time::Duration::from_secs(3),
            idle_time: time::Duration::from_secs(15),
        }
    }
}
