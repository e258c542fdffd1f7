//! What a command wants to change.

use pier_types::epochs;

use crate::edits;

/// The change that a command is to bring about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyChange {
    /// Put a whole document in place of one version, and of no other.
    Replace {
        /// The new text.
        text: String,
        /// The version that the operator edited; 0 when there was none.
        base: epochs::ConfigVersion,
    },
    /// Make one edit, whatever the present version is.
    Edit(edits::DocumentEdit),
}
