//! A copy of the document that reached a node.

use std::{fmt, sync};

use pier_types::{epochs, ids};

/// Where a copy came from.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConfigSource {
    /// The platform's object API, whose reads may lag.
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

/// One version of the document as some source tells it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigCopy {
    /// The version.
    pub version: epochs::ConfigVersion,
    /// The text.
    pub text: sync::Arc<str>,
    /// Who told it.
    pub source: ConfigSource,
}
