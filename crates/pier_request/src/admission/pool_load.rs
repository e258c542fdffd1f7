//! The load of a pool.

use pier_types::routes;

/// What a pool can take and has, summed over its targets when the table was made.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// Requests that this node may have in flight.
    pub capacity: u32,
    /// Requests that ran in the targets, of all nodes.
    pub running: u32,
    /// Requests that waited in the targets, of all nodes.
    pub queued: u32,
}

impl PoolLoad {
    /// Adds a target.
    pub fn add(&mut self, target: &routes::RouteTarget) {
        self.capacity = self.capacity.saturating_add(target.share.get());
        self.running = self.running.saturating_add(target.load.running.get());
        self.queued = self.queued.saturating_add(target.load.queued.get());
    }
}
