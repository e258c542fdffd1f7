//! What a node needs at one target.

use pier_types::sizes;

/// The present use and the wish of this node at one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ShareDemand {
    /// Requests in flight beyond the fixed part.
    pub running: sizes::RequestCount,
    /// Requests that it would like to have in flight beyond the fixed part; none when it will
    /// start no more work there.
    pub wanted: sizes::RequestCount,
}
