//! Errors of encoding datagrams.

use std::{error, fmt};

/// Why messages could not be put into datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SealError {
    /// A message that cannot be split is too long for a datagram.
    TooLong {
        /// The length of the message, in bytes.
        bytes: usize,
    },
    /// A message cannot be encoded.
    Unencodable,
}

impl fmt::Display for SealError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong { bytes } => {
                write!(f, "a message of {bytes} bytes is too long for a datagram")
            }
            Self::Unencodable => f.write_str("a message cannot be encoded"),
        }
    }
}

impl error::Error for SealError {}
