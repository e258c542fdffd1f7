//! The effect of a reading or a note.

/// The effect of a reading of the platform, or of another node's note, on the current list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayEvent {
    /// The list was replaced.
    Changed,
    /// The list stays, and is now known to be more recent.
    Confirmed,
    /// Nothing changed: the reading or note is too old, was not asked for, or has no result.
    Ignored,
    /// The other node's list is newer but cannot be sent as changes; this node has to read the
    /// platform.
    Behind,
}
