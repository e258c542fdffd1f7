//! The configuration in force.

use pier_config::documents;
use pier_types::epochs;

/// A configuration document and its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigSnapshot {
    /// The version; it never decreases.
    pub version: epochs::ConfigVersion,
    /// The validated document.
    pub document: documents::ConfigDocument,
    /// The text it was parsed from, sent to peers that lack this version.
    pub text: String,
}
