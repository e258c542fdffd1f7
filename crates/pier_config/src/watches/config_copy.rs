//! A copy of the document received by a node.

use std::{fmt, sync};

use pier_types::{epochs, ids};

/// The origin of a copy.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConfigSource {
    /// The platform's object API, whose reads may be stale.
    Platform,
    /// Another node.
    Peer(ids::NodeName),
}

impl fmt::Display for ConfigSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform => f.write_str("platform"),
            Self::Peer(node) => write!(f, "peer:{node}"),
        }
    }
}

/// One version of the document as received from one source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigCopy {
    /// The version.
    pub version: epochs::ConfigVersion,
    /// The text.
    pub text: sync::Arc<str>,
    /// Where it came from.
    pub source: ConfigSource,
}
