//! Whether a stream ended whole.

/// What the end of an attempt's stream means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// Every part up to the explicit end was relayed.
    Complete,
    /// Parts or the explicit end are missing.
    Broken,
    /// It belongs to an attempt that is no longer awaited.
    Stale,
}
