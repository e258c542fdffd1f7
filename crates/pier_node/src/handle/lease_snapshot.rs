//! The control lease of this data centre.

use pier_control::leases;
use pier_types::times;

/// The newest lease record and this node's own claim to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseSnapshot {
    /// The record.
    pub record: leases::LeaseRecord,
    /// When this node's own lease ends, less the margin; none when another node holds it.
    pub held_until: Option<times::BootTime>,
}
