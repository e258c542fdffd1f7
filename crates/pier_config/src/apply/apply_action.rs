//! What a command is to do next.

use pier_types::epochs;

use crate::apply;

/// The next step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyAction {
    /// Read the document; answer with `Read` or `ReadFailed`.
    Read {
        /// Whether to wait a moment first.
        pause: bool,
    },
    /// Keep a text in the history unless it is there; answer with `Archived`.
    Archive {
        /// The version of the text.
        version: epochs::ConfigVersion,
        /// The text.
        text: String,
    },
    /// Look up a text in the history; answer with `ArchiveRead`.
    ReadArchive {
        /// The version of the text.
        version: epochs::ConfigVersion,
    },
    /// Write the document on this condition; answer with one of the four results of a write.
    Write {
        /// The version that must be present; 0 when there must be none.
        if_version: epochs::ConfigVersion,
        /// The text.
        text: String,
        /// Whether to wait a moment first.
        pause: bool,
    },
    /// Nothing; this is what became of the change.
    Finish(apply::ApplyOutcome),
}
