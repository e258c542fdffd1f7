//! A node's demand at one target.

use pier_types::sizes;

/// The number of requests that this node has in flight, and wants to have, at one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ShareDemand {
    /// Requests in flight beyond the fixed part.
    pub running: sizes::RequestCount,
    /// Requests that the node wants to have in flight beyond the fixed part; 0 if it will start
    /// no more work there.
    pub wanted: sizes::RequestCount,
}
