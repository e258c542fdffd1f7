//! Results of conditional writes.

use pier_types::epochs;

/// The result of a conditional write or deletion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect; this is the new version.
    Written(epochs::ObjectVersion),
    /// The write had no effect, since the object has this version; 0 means that it does not exist.
    Conflict(epochs::ObjectVersion),
    /// The write had no effect: the platform was not reached, or refused it.
    Unreached {
        /// What failed, as text for operators.
        reason: String,
    },
    /// The write was sent, but no usable reply came back; it may have taken effect.
    Unsettled {
        /// What failed, as text for operators.
        reason: String,
    },
}
