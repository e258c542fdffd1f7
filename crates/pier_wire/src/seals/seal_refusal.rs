//! Reasons to refuse a datagram.

use std::{error, fmt};

/// Why a received datagram is dropped with all its messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SealRefusal {
    /// Too short for a version and a tag.
    Truncated,
    /// Longer than the maximum length of a datagram.
    TooLong,
    /// Has another format version.
    OtherVersion {
        /// The version of the datagram.
        found: u8,
    },
    /// The tag does not match the content: another key, or damaged in transit.
    Forged,
    /// Received before, or too old to be checked for that.
    Replayed,
    /// Sent by this process itself.
    OwnEcho,
    /// Authentic, but cannot be decoded.
    Malformed,
}

impl SealRefusal {
    /// Returns the reason as a label for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Truncated => "truncated",
            Self::TooLong => "too-long",
            Self::OtherVersion { .. } => "other-version",
            Self::Forged => "forged",
            Self::Replayed => "replayed",
            Self::OwnEcho => "own-echo",
            Self::Malformed => "malformed",
        }
    }
}

impl fmt::Display for SealRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl error::Error for SealRefusal {}
