//! Finds out when an attempt's group no longer serves and is silent.

use std::time;

use pier_types::{times, times::clocks};

use crate::requests;

/// Time between two checks of the health of an attempt's group.
const HEALTH_CHECK_PERIOD: time::Duration = time::Duration::from_millis(200);

/// Time for which a group must be unhealthy and silent before another target is asked; health
/// evidence may arrive late.
const BROKEN_GROUP_DELAY: time::Duration = time::Duration::from_secs(1);

/// Watches the group of the newest attempt of a request since its latest part.
#[derive(Debug)]
pub(super) struct GroupWatch {
    call: requests::AttemptCall,
    broken_since: Option<times::BootTime>,
}

impl GroupWatch {
    /// Watches the group of an attempt that is sent, or has answered a part, now.
    pub(super) const fn new(call: requests::AttemptCall) -> Self {
        Self {
            call,
            broken_since: None,
        }
    }

    /// Returns the attempt.
    pub(super) const fn call(&self) -> &requests::AttemptCall {
        &self.call
    }

    /// Waits until a check finds that the group has been unhealthy and silent for
    /// [`BROKEN_GROUP_DELAY`].
    pub(super) async fn wait_until_broken(&mut self) {
        loop {
            tokio::time::sleep(HEALTH_CHECK_PERIOD).await;
            if self.is_broken(clocks::boot_now()) {
                return;
            }
        }
    }

    fn is_broken(&mut self, now: times::BootTime) -> bool {
        if self.call.is_group_healthy() {
            self.broken_since = None;
            return false;
        }
        let since = *self.broken_since.get_or_insert(now);
        now.since(since) >= BROKEN_GROUP_DELAY
    }
}
