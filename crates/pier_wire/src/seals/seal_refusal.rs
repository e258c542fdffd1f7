//! Why a datagram was refused.

use std::{error, fmt};

/// The reason a received datagram is dropped whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SealRefusal {
    /// Too short to hold an envelope.
    Truncated,
    /// Longer than any datagram that nodes send.
    TooLong,
    /// Of another version of the format.
    OtherVersion {
        /// The version found.
        found: u8,
    },
    /// The tag does not fit the bytes; also after damage on the way.
    Forged,
    /// Received before, or too old to tell.
    Replayed,
    /// Sent by this very process.
    OwnEcho,
    /// Genuine, but the messages do not decode.
    Malformed,
}

impl SealRefusal {
    /// Returns the reason as one word, for logs and metric labels.
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
