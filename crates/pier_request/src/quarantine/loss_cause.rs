//! Why a target was lost.

/// The cause of the loss of a target, as far as known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossCause {
    /// Its process ended unexpectedly: it closed its connections or came back as another
    /// incarnation.
    ProcessLost,
    /// It cannot be reached, as in a network partition; its process may still be running.
    Unreachable,
    /// It was stopped on purpose, or its VM is leaving.
    Ordered,
}
