//! Finds out why a target closed a connection.

use std::time;

use pier_request::quarantine;
use pier_types::times;
use tokio::sync;

use crate::serving;

/// How long the result of a check counts for further requests that lost the same target.
const RESULT_LIFETIME: time::Duration = time::Duration::from_millis(100);

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
    /// Opens a connection to the target, which is refused if its process has ended, and pools it
    /// otherwise. Returns `None` when the target accepted the connection.
    pub(crate) async fn run(
        &self,
        connections: &serving::ConnectionPool,
        now: times::BootTime,
    ) -> Option<quarantine::LossCause> {
        let mut last = self.last.lock().await;
        let recent = last.filter(|result| now.since(result.checked_at) < RESULT_LIFETIME);
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
