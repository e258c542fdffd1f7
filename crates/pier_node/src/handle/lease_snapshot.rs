//! The control lease of this data centre.

use pier_control::leases;
use pier_types::times;

/// The newest lease record and whether this node holds the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseSnapshot {
    /// The record.
    pub record: leases::LeaseRecord,
    /// When this node's lease ends, less the safety margin; `None` when another node holds it.
    pub held_until: Option<times::BootTime>,
}
