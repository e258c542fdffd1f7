//! The steps that a change requests from its caller.

use pier_types::epochs;

use crate::apply;

/// The next step of a change; the caller carries it out and reports the result as an
/// [`apply::ApplyEvent`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyAction {
    /// Read the document. Its result is `Read` or `ReadFailed`.
    Read {
        /// Whether to pause before this retry.
        pause: bool,
    },
    /// Store a text in the history, unless it is there already. Its result is `Archived`.
    Archive {
        /// The version of the text.
        version: epochs::ConfigVersion,
        /// The text.
        text: String,
    },
    /// Read a text from the history. Its result is `ArchiveRead`.
    ReadArchive {
        /// The version of the text.
        version: epochs::ConfigVersion,
    },
    /// Write the document if it has a given version. Its result is `Written`, `Conflict`,
    /// `Unreached` or `Unsettled`.
    Write {
        /// The version that the document must have; 0 if it must not exist.
        if_version: epochs::ConfigVersion,
        /// The text.
        text: String,
        /// Whether to pause before this retry.
        pause: bool,
    },
    /// Stop: the change has ended with this outcome.
    Finish(apply::ApplyOutcome),
}
