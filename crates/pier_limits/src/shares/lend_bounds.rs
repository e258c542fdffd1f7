//! What bounds one loan.

use pier_types::sizes;

/// What the ledger knows of the nodes when it lends to one of them.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LendBounds {
    /// The most that one node may hold.
    pub(crate) cap: sizes::RequestCount,
    /// What nodes that were not heard of may have in use.
    pub(crate) unheard: sizes::RequestCount,
    /// Nodes among which the unwanted part of a pool is dealt.
    pub(crate) nodes: u32,
}
