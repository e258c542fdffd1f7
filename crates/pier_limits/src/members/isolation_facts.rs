//! What a node knows of its own links.

use pier_types::times;

/// When this node last heard of the rest of the system.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct IsolationFacts {
    /// When the last call was sent that the platform answered.
    pub platform_at: Option<times::BootTime>,
    /// When a datagram of a node of the same data centre last came.
    pub peer_at: Option<times::BootTime>,
    /// Whether the lease record names other nodes of the data centre.
    pub has_peers: bool,
    /// Whether VMs of the data centre answer this node's probes.
    pub sees_targets: bool,
}
