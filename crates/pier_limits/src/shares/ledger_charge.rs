//! The number of requests that one node may have in flight at one target.

use pier_types::{sizes, times};

/// An upper bound of the requests that one node has in flight under granted shares.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LedgerCharge {
    /// The upper bound.
    pub(crate) amount: sizes::RequestCount,
    /// The number of requests that the node would like to have in flight.
    pub(crate) wanted: sizes::RequestCount,
    /// The round of the ask that reported it.
    pub(crate) round: u64,
    /// When all work under it must have ended, even if the node is not heard from again.
    pub(crate) ends_at: times::BootTime,
}
