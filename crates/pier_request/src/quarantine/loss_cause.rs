//! Why a target was lost.

/// What is known of the loss of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossCause {
    /// Its process ended by itself: connections were closed by it, or it came back as another
    /// incarnation.
    ProcessLost,
    /// It can not be reached, as in a network partition; it may well be alive.
    Unreachable,
    /// It was told to end, or its VM is leaving.
    Ordered,
}
