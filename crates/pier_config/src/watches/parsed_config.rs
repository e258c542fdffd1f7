//! A parsed version of the document.

use std::sync;

use pier_types::epochs;

use crate::documents;

/// A version of the document with its parsed content and its text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedConfig {
    /// The version.
    pub version: epochs::ConfigVersion,
    /// The content.
    pub document: sync::Arc<documents::ConfigDocument>,
    /// The text, served to peers.
    pub text: sync::Arc<str>,
}
