//! The start-up settings of a node of the bench.

use std::{net, process, sync::atomic};

use pier_types::times::clocks;

/// The settings of one node.
#[derive(Debug, Clone)]
pub(super) struct NodePlan {
    /// Data centre of the node.
    pub(super) data_centre: String,
    /// Addresses of the nodes that it contacts first.
    pub(super) seeds: Vec<net::SocketAddr>,
    /// Key that authenticates the bench's nodes to one another.
    pub(super) peer_key: String,
    /// Address at which it reaches the platform.
    pub(super) platform: net::SocketAddr,
}

impl NodePlan {
    /// Returns a peer key that no other bench on this machine uses.
    pub(super) fn unique_key() -> String {
        static COUNT: atomic::AtomicU64 = atomic::AtomicU64::new(0);
        let count = COUNT.fetch_add(1, atomic::Ordering::Relaxed);
        let started = clocks::boot_now().as_micros();
        format!("{:08x}-{count:08x}-{started:016x}", process::id())
    }

    /// Returns the text of the settings file.
    pub(super) fn settings(&self) -> String {
        let seeds: Vec<_> = self.seeds.iter().map(ToString::to_string).collect();
        format!(
            "[node]\ndata-centre = {}\nregion = bench\ncallers = 127.0.0.1:0\n\
             operators = 127.0.0.1:0\npeers = 127.0.0.1:0\nseeds = {}\n\
             peer-key = {}\ndrain-notice-seconds = 0\n\
             [platform]\nurl = http://{}\n",
            self.data_centre,
            seeds.join(", "),
            self.peer_key,
            self.platform,
        )
    }
}
