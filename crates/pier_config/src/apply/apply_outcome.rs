//! The outcome of a change.

use pier_types::epochs;

use crate::{apply, edits, faults};

/// The outcome of a change. Every variant except [`Self::Unknown`] is certain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change took effect.
    Accepted {
        /// The version that it created.
        version: epochs::ConfigVersion,
    },
    /// The new text is invalid and was not written.
    Refused(faults::DocumentError),
    /// The edit is not possible; it had no effect.
    EditRefused(edits::EditError),
    /// Another change was written first; this one had no effect.
    Conflict(apply::ConflictReport),
    /// The platform did not answer, or its reads were stale; the change had no effect.
    PlatformUnavailable {
        /// Error text for the operator.
        reason: String,
    },
    /// The change may have taken effect; retries and reads did not settle it.
    Unknown {
        /// Error text for the operator.
        reason: String,
    },
}
