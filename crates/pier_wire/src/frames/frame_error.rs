//! Errors of streams between nodes.

use std::{error, fmt};

/// An error after which the connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// A frame exceeds the maximum length.
    TooLong {
        /// The announced or encoded length, in bytes.
        bytes: usize,
    },
    /// A frame cannot be decoded.
    Malformed,
    /// A value cannot be encoded.
    Unencodable,
    /// The peer uses another protocol version.
    OtherVersion {
        /// The peer's version.
        found: u8,
    },
    /// The peer did not prove that it has the key.
    InvalidProof,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong { bytes } => {
                write!(f, "a frame of {bytes} bytes is over the limit")
            }
            Self::Malformed => f.write_str("a frame does not decode"),
            Self::Unencodable => f.write_str("a frame does not encode"),
            Self::OtherVersion { found } => write!(f, "the peer speaks version {found}"),
            Self::InvalidProof => f.write_str("the peer did not prove the key"),
        }
    }
}

impl error::Error for FrameError {}
