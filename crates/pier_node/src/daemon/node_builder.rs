//! How a node is set up.

use std::time;

use pier_limits::shifts;

use crate::{daemon, settings};

/// Longest time that a data centre may take to leave once a node knows; the promise to operators
/// counts on it.
const MAX_LEAVE_TIME: time::Duration = time::Duration::from_secs(2);

/// Sets up a node.
#[derive(Debug, Clone)]
pub struct NodeBuilder {
    settings: settings::NodeSettings,
    shift: shifts::ShiftPolicy,
}

impl NodeBuilder {
    /// Starts with the usual times of a data centre that leaves and returns.
    pub fn new(settings: settings::NodeSettings) -> Self {
        Self {
            settings,
            shift: shifts::ShiftPolicy::default(),
        }
    }

    /// Sets how fast load moves while the data centre leaves and returns; times of zero move it
    /// at once.
    #[must_use]
    pub fn shift(mut self, policy: shifts::ShiftPolicy) -> Self {
        self.shift = policy;
        self
    }

    /// Starts every part of the node.
    ///
    /// # Errors
    ///
    /// Fails when the data centre would leave too slowly, or a port can not be bound.
    pub async fn launch(self) -> anyhow::Result<daemon::NodeDaemon> {
        let leave_time = self.shift.leave_time;
        anyhow::ensure!(
            leave_time <= MAX_LEAVE_TIME,
            "a data centre may take {MAX_LEAVE_TIME:?} to leave, not {leave_time:?}"
        );
        daemon::NodeDaemon::start(self.settings, self.shift).await
    }
}
