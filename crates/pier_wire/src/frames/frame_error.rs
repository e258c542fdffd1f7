//! Why a stream is given up.

use std::{error, fmt};

/// A fault after which the connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// A frame longer than the limit.
    TooLong {
        /// The length that was announced or built, in bytes.
        bytes: usize,
    },
    /// A frame that does not decode.
    Malformed,
    /// A value that does not encode.
    Unencodable,
    /// The other side speaks another version.
    OtherVersion {
        /// The version found.
        found: u8,
    },
    /// The other side does not have the key.
    InvalidProof,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong { bytes } => write!(f, "a frame of {bytes} bytes is over the limit"),
            Self::Malformed => f.write_str("a frame does not decode"),
            Self::Unencodable => f.write_str("a frame does not encode"),
            Self::OtherVersion { found } => write!(f, "the peer speaks version {found}"),
            Self::InvalidProof => f.write_str("the peer did not prove the key"),
        }
    }
}

impl error::Error for FrameError {}
