//! The version in force.

use std::sync;

use pier_types::epochs;

use crate::documents;

/// A version of the document and its content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedConfig {
    /// The version.
    pub version: epochs::ConfigVersion,
    /// The content.
    pub document: sync::Arc<documents::ConfigDocument>,
    /// The text, for peers that ask.
    pub text: sync::Arc<str>,
}
