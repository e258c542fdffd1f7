//! What a command learns from the platform.

use pier_types::epochs;

/// The result of the action asked for last.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyEvent {
    /// The document was read; reads may lag.
    Read {
        /// Its version; 0 when there is none.
        version: epochs::ConfigVersion,
        /// Its text; empty when there is none.
        text: String,
    },
    /// The platform gave no usable answer to a read.
    ReadFailed {
        /// What went wrong, for people.
        reason: String,
    },
    /// The write of the earlier version to the history ended, one way or another.
    Archived,
    /// The earlier version was looked up in the history.
    ArchiveRead {
        /// Its text, if it is kept there.
        text: Option<String>,
    },
    /// The write took effect.
    Written(epochs::ConfigVersion),
    /// The write had no effect, since the document has this version.
    Conflict(epochs::ConfigVersion),
    /// The write certainly had no effect.
    Unreached {
        /// What went wrong, for people.
        reason: String,
    },
    /// The write may have had an effect.
    Unsettled {
        /// What went wrong, for people.
        reason: String,
    },
}
