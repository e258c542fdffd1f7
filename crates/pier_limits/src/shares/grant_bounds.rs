//! The bounds of one grant.

use pier_types::sizes;

/// What the ledger knows of all nodes when it grants a share to one of them.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GrantBounds {
    /// The maximum share of one node.
    pub(crate) cap: sizes::RequestCount,
    /// The number of requests that nodes without a complete ask may have in flight.
    pub(crate) unreported: sizes::RequestCount,
    /// The number of nodes among which the unwanted part of a pool is divided.
    pub(crate) nodes: u32,
}
