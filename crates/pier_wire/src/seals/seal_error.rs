//! Why messages could not be sealed.

use std::{error, fmt};

/// A fault of the sender's own messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SealError {
    /// One message that can not be split is longer than a datagram.
    TooLong {
        /// Its length in bytes.
        bytes: usize,
    },
    /// The message does not encode.
    Unencodable,
}

impl fmt::Display for SealError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong { bytes } => write!(f, "a message of {bytes} bytes fits no datagram"),
            Self::Unencodable => f.write_str("a message does not encode"),
        }
    }
}

impl error::Error for SealError {}
