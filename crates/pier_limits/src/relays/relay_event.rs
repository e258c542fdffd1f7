//! What a reading or a note did.

/// What became of a reading or of a note.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayEvent {
    /// The list is another one now.
    Changed,
    /// The list stays, and was seen so lately.
    Confirmed,
    /// It tells nothing new: too old, not asked for, or without an answer.
    Ignored,
    /// The other node's list is newer and can not be had by changes; this node reads the platform.
    Behind,
}
