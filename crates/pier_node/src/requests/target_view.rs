//! The targets and when their table was made.

use std::time;

use pier_request::routing;
use pier_types::{routes, times};

/// A view of the targets that serves requests only while it is fresh.
///
/// A node that was paused holds a table whose groups may have lost a member since.
#[derive(Debug, Default)]
pub(super) struct TargetView {
    /// The view.
    pub(super) view: routing::RoutingView,
    /// When the table was published.
    pub(super) built_at: times::BootTime,
}

impl TargetView {
    /// Returns a pool, unless the table is too old to be relied on.
    pub(super) fn pool(
        &self,
        key: &routes::PoolKey,
        freshness: time::Duration,
        now: times::BootTime,
    ) -> Option<&routing::PoolView> {
        if now.since(self.built_at) > freshness {
            return None;
        }
        self.view.pool(key)
    }
}
