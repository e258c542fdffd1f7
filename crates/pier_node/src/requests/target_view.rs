//! The targets and the time at which their table was published.

use std::time;

use pier_request::routing;
use pier_types::{routes, times};

/// A view of the targets that is used only while it is fresh.
///
/// After a pause of the node the table is out of date: its groups may have lost a member since.
#[derive(Debug, Default)]
pub(super) struct TargetView {
    /// The view.
    pub(super) view: routing::RoutingView,
    /// When the table was published.
    pub(super) built_at: times::BootTime,
}

impl TargetView {
    /// Returns a pool, or `None` when the table is older than `freshness`.
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
