//! What became of a change.

use pier_types::epochs;

use crate::{apply, edits, faults};

/// What became of a change, as far as it is certain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It took effect.
    Accepted {
        /// The version that it made.
        version: epochs::ConfigVersion,
    },
    /// The text is refused; nothing was sent.
    Refused(faults::DocumentError),
    /// The edit is refused; it had no effect.
    EditRefused(edits::EditError),
    /// Another change came first; this one had no effect.
    Conflict(apply::ConflictReport),
    /// The platform is away; the change had no effect.
    PlatformUnavailable {
        /// What went wrong, for people.
        reason: String,
    },
    /// The change may have taken effect; nothing more could be learnt.
    Unknown {
        /// What went wrong, for people.
        reason: String,
    },
}
