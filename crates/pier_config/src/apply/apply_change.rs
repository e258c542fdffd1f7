//! The change that a command requests.

use pier_types::epochs;

use crate::edits;

/// A change to the configuration document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyChange {
    /// Replaces the document, on condition that it still has the base version.
    Replace {
        /// The new text.
        text: String,
        /// The version that the operator edited; 0 if there was no document.
        base: epochs::ConfigVersion,
    },
    /// Makes one edit, whatever the current version is.
    Edit(edits::DocumentEdit),
}
