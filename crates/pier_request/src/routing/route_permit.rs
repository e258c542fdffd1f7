//! The permit for one request at a target.

use std::sync;

use pier_types::{routes, sizes};

use crate::routing;

/// Counts one request as in flight at a target until the permit is dropped.
#[derive(Debug)]
pub struct RoutePermit {
    target: sync::Arc<routes::RouteTarget>,
    counter: sync::Arc<routing::TargetCounter>,
}

impl RoutePermit {
    /// Wraps a request that was already added to the counter.
    pub(super) const fn new(
        target: sync::Arc<routes::RouteTarget>,
        counter: sync::Arc<routing::TargetCounter>,
    ) -> Self {
        Self { target, counter }
    }

    /// Returns the target as it was when the permit was acquired.
    pub const fn target(&self) -> &sync::Arc<routes::RouteTarget> {
        &self.target
    }

    /// Returns how many requests of this node are in flight at the target, this one included.
    pub fn in_flight(&self) -> sizes::RequestCount {
        self.counter.in_flight()
    }
}

impl Drop for RoutePermit {
    fn drop(&mut self) {
        self.counter.remove();
    }
}
