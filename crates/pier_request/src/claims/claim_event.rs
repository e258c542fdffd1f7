//! What the platform answered.

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
    /// The write was refused because of the version.
    Conflict,
    /// The call was sent and its reply was lost; a write may take effect, now or later.
    ReplyLost,
    /// The call was certainly not carried out.
    NotSent,
    /// The read found a claim, which may be older than the newest.
    Found {
        /// Its version.
        version: epochs::ObjectVersion,
        /// Its value.
        record: claims::ClaimRecord,
    },
    /// The read found nothing, which does not rule out a write that is still on its way.
    Absent,
    /// The read found a value that is not a claim.
    Unreadable,
}
