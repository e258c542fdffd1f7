//! Whether a stream ended with a complete answer.

/// Result of the end of an attempt's stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// Every part up to the explicit end was relayed.
    Complete,
    /// Parts or the explicit end are missing.
    Broken,
    /// It belongs to an earlier or abandoned attempt.
    Stale,
}
