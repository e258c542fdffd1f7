//! The system that serves the callers of a play.

/// The system under test: the nodes, or a replacement without their protection.
///
/// A promise must hold at the nodes and break at the replacement; otherwise the case proves
/// nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TestedSystem {
    /// The nodes.
    Nodes,
    /// The nodes, killed where the play drains them.
    KillOnDrain,
    /// No nodes: a client library that sends straight to the targets and retries every failure.
    BlindRetrier,
}
