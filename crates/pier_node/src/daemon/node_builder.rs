//! Configures and starts a node.

use std::time;

use pier_limits::shifts;

use crate::{daemon, settings};

/// Maximum time in which a data centre must be out of service once a node knows of the change;
/// operators are promised this time.
const MAX_LEAVE_TIME: time::Duration = time::Duration::from_secs(2);

/// Configures a node before its start.
#[derive(Debug, Clone)]
pub struct NodeBuilder {
    settings: settings::NodeSettings,
    shift: shifts::ShiftPolicy,
}

impl NodeBuilder {
    /// Creates a builder with the default times for a data centre to leave and return.
    pub fn new(settings: settings::NodeSettings) -> Self {
        Self {
            settings,
            shift: shifts::ShiftPolicy::default(),
        }
    }

    /// Sets how fast load shifts while the data centre leaves and returns; with times of zero it
    /// shifts at once.
    #[must_use]
    pub fn shift(mut self, policy: shifts::ShiftPolicy) -> Self {
        self.shift = policy;
        self
    }

    /// Starts every part of the node.
    ///
    /// # Errors
    ///
    /// Fails when the data centre would leave too slowly, or a port cannot be bound.
    pub async fn launch(self) -> anyhow::Result<daemon::NodeDaemon> {
        let leave_time = self.shift.leave_time;
        anyhow::ensure!(
            leave_time <= MAX_LEAVE_TIME,
            "a data centre may take at most {MAX_LEAVE_TIME:?} to leave, not {leave_time:?}"
        );
        daemon::NodeDaemon::start(self.settings, self.shift).await
    }
}
