//! What became of a part of an answer.

/// How a part was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartStatus {
    /// It is ready to be relayed.
    Ready,
    /// It waits for parts before it.
    Held,
    /// It was relayed before and was dropped.
    Duplicate,
    /// It belongs to an attempt that is no longer awaited and was dropped.
    Stale,
    /// It lies too far ahead, or behind the end; the attempt has to be abandoned.
    Refused,
}
