//! What is known after a conditional write.

use pier_types::epochs;

/// The result of a conditional write or deletion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteResult {
    /// It took effect and gave the object this version.
    Written(epochs::ObjectVersion),
    /// It had no effect: the object has this other version (0: absent).
    Conflict(epochs::ObjectVersion),
    /// It had no effect: the platform was never reached, or refused it.
    NotApplied {
        /// What went wrong, for people.
        reason: String,
    },
    /// It may have taken effect: it was sent, and no usable reply came back.
    OutcomeUnknown {
        /// What went wrong, for people.
        reason: String,
    },
}
