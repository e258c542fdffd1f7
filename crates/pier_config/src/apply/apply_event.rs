//! Results of the actions of a change.

use pier_types::epochs;

/// The result of the last [`ApplyAction`](crate::apply::ApplyAction).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyEvent {
    /// The document was read. The read may be stale.
    Read {
        /// Its version; 0 if there is no document.
        version: epochs::ConfigVersion,
        /// Its text; empty if there is no document.
        text: String,
    },
    /// The read failed or returned no usable answer.
    ReadFailed {
        /// Error text for the operator.
        reason: String,
    },
    /// The write of the base version to the history ended, successfully or not.
    Archived,
    /// The read from the history ended.
    ArchiveRead {
        /// The text, if the history has it.
        text: Option<String>,
    },
    /// The write took effect and created this version.
    Written(epochs::ConfigVersion),
    /// The write had no effect, because the document has this version.
    Conflict(epochs::ConfigVersion),
    /// The write failed before it reached the platform, so it had no effect.
    Unreached {
        /// Error text for the operator.
        reason: String,
    },
    /// The outcome of the write is unknown: it may have taken effect.
    Unsettled {
        /// Error text for the operator.
        reason: String,
    },
}
