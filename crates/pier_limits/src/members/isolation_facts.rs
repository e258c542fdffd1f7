//! What a node knows about its connections.

use pier_types::times;

/// When this node last heard from the platform, from its peers and from targets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct IsolationFacts {
    /// When the latest call that the platform answered was sent.
    pub platform_at: Option<times::BootTime>,
    /// When the latest datagram from a node of the same data centre arrived.
    pub peer_at: Option<times::BootTime>,
    /// Whether the lease record names other nodes of the data centre.
    pub has_peers: bool,
    /// Whether VMs of the data centre answer this node's probes.
    pub sees_targets: bool,
}
