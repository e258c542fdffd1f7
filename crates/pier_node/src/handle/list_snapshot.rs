//! The VM list of this data centre and when it was read.

use std::sync;

use pier_limits::relays;

/// A list and the reading that brought it last.
#[derive(Debug, Clone)]
pub struct ListSnapshot {
    /// The VMs of the data centre.
    pub list: sync::Arc<relays::VmMap>,
    /// When the platform was read, by this node's clock.
    pub span: relays::ReadingSpan,
}
