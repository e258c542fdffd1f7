//! Finds out why a target closed a connection.

use std::time;

use pier_request::quarantine;
use pier_types::times;
use tokio::sync;

use crate::serving;

/// The last check of one target; requests that lose it together share one check.
#[derive(Debug, Default)]
pub(crate) struct LossCheck {
    last: sync::Mutex<Option<CheckResult>>,
}

#[derive(Debug, Clone, Copy)]
struct CheckResult {
    cause: Option<quarantine::LossCause>,
    checked_at: times::BootTime,
}

impl LossCheck {
    /// Returns whether the last check found that the target's process has ended.
    pub(crate) async fn has_found_end(&self) -> bool {
        let last = *self.last.lock().await;
        last.is_some_and(|result| result.cause == Some(quarantine::LossCause::ProcessLost))
    }

    /// Opens a connection to the target, which is refused if its process has ended, and pools it
    /// otherwise. Returns `None` when the target accepted the connection.
    ///
    /// The result of another check counts if that began at most `max_age` before `now`.
    pub(crate) async fn run(
        &self,
        connections: &serving::ConnectionPool,
        max_age: time::Duration,
        now: times::BootTime,
    ) -> Option<quarantine::LossCause> {
        let mut last = self.last.lock().await;
        let recent = last.filter(|result| now.since(result.checked_at) <= max_age);
        if let Some(result) = recent {
            return result.cause;
        }
        let cause = match connections.connect().await {
            Ok(connection) => {
                connections.give_back(connection, None, now);
                None
            }
            Err(serving::ConnectFault::NoListener) => Some(quarantine::LossCause::ProcessLost),
            Err(serving::ConnectFault::Failed(_)) => Some(quarantine::LossCause::Unreachable),
        };
        *last = Some(CheckResult {
            cause,
            checked_at: now,
        });
        cause
    }
}
