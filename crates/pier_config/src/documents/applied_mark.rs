//! The mark that a command leaves in the document it wrote.

use std::{fmt, str};

use pier_types::{epochs, ids};

/// Who wrote one version of the document.
///
/// A document carries the marks of its last versions. A command whose reply was lost finds its own
/// mark there, or the mark of the command that won in its place, also when later versions followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AppliedMark {
    /// The version that the command's write made, if it was made.
    pub version: epochs::ConfigVersion,
    /// The nonce that the command drew.
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
