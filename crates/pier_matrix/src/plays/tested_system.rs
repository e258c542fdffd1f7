//! Who answers the callers of a play.

/// Whether callers reach the product or something that lacks its protection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TestedSystem {
    /// The nodes.
    Nodes,
    /// The nodes, but killed where the play drains them.
    KillOnDrain,
    /// A caller's library that sends straight to the targets and retries blindly.
    BlindRetrier,
}
