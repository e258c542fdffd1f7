//! What one node may have in flight at one target.

use pier_types::{sizes, times};

/// An upper bound of one node's work under lent shares.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LedgerCharge {
    /// The bound.
    pub(crate) amount: sizes::RequestCount,
    /// What the node would like to have.
    pub(crate) wanted: sizes::RequestCount,
    /// The round in which the node told of it.
    pub(crate) round: u64,
    /// When all work under it must have ended, should the node stay silent.
    pub(crate) ends_at: times::BootTime,
}
