//! What the reorder buffer did with a part of an answer.

/// Result of passing a part to the [`ReorderBuffer`](crate::attempts::ReorderBuffer).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartStatus {
    /// It is ready to be relayed.
    Ready,
    /// It is held until the parts before it arrive.
    Held,
    /// A part at its position was accepted before; it was dropped.
    Duplicate,
    /// It belongs to an earlier or abandoned attempt; it was dropped.
    Stale,
    /// It is too far ahead or past the end of the answer, or marks an end before a part that is
    /// held; the attempt has to be abandoned.
    Refused,
}
