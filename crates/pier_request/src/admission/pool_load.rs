//! The load of a pool.

use pier_types::routes;

/// Capacity and load of a pool, summed over its targets when the route table was built.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// Requests that this node may have in flight in the pool.
    pub capacity: u32,
    /// Requests of all nodes that are running in the targets.
    pub running: u32,
    /// Requests of all nodes that are queued in the targets.
    pub queued: u32,
}

impl PoolLoad {
    /// Adds the share and the load of a target.
    pub fn add(&mut self, target: &routes::RouteTarget) {
        self.capacity = self.capacity.saturating_add(target.share.get());
        self.running = self.running.saturating_add(target.load.running.get());
        self.queued = self.queued.saturating_add(target.load.queued.get());
    }
}
