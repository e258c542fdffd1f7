//! The VM list of this data centre and when it was read.

use std::sync;

use pier_limits::relays;

/// A VM list and the time of the read that returned it last.
#[derive(Debug, Clone)]
pub struct ListSnapshot {
    /// The VMs of the data centre.
    pub list: sync::Arc<relays::VmMap>,
    /// The time span of the read from the platform, by this node's clock.
    pub span: relays::ReadingSpan,
}
