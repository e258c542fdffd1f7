//! The mark that a command stores in the document it writes.

use std::{fmt, str};

use pier_types::{epochs, ids};

/// Identifies the command that wrote one version of the document.
///
/// A document carries the marks of its most recent versions. A command whose write got no reply
/// finds its own mark there, or the mark of the command whose write won, even after later versions
/// were written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AppliedMark {
    /// The version that the command's write creates.
    pub version: epochs::ConfigVersion,
    /// The random nonce of the command.
    pub nonce: ids::WriteNonce,
}

impl fmt::Display for AppliedMark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.version, self.nonce)
    }
}

impl str::FromStr for AppliedMark {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse_error = || format!("{text:?} is not VERSION-NONCE");
        let (version, nonce) = text.split_once('-').ok_or_else(parse_error)?;
        Ok(Self {
            version: version.parse().map_err(|_error| parse_error())?,
            nonce: nonce.parse().map_err(|_error| parse_error())?,
        })
    }
}
