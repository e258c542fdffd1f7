//! The platform's answer to a claim action.

use pier_types::epochs;

use crate::claims;

/// The result of the platform call that an action asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEvent {
    /// The write took effect.
    Written {
        /// The new version.
        version: epochs::ObjectVersion,
    },
    /// The write was refused: the object has another version.
    Conflict,
    /// The call was sent and its reply was lost; a write may have taken effect or may still do so.
    ReplyLost,
    /// The call certainly had no effect.
    NotSent,
    /// The read found a claim; the read may be stale.
    Found {
        /// The version of the object that was read.
        version: epochs::ObjectVersion,
        /// The claim that was read.
        record: claims::ClaimRecord,
    },
    /// The read found no object; a write may still be in flight.
    Absent,
    /// The read found an object that does not decode as a claim.
    Unreadable,
}
