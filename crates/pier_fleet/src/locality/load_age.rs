//! The age of the loads known of a data centre.

use std::time;

use pier_types::times;

use crate::loads;

/// Requests in flight from which a sum changes at nearly every digest. With fewer, a sum that stays
/// the same shows nothing.
const MIN_REQUESTS: u32 = 8;

/// Time without a change after which a fall to nothing means that hubs dropped the loads.
const FROZEN_TIME: time::Duration = time::Duration::from_millis(600);

/// How long dropped loads count as old. A data centre whose nodes have all ended gets requests
/// again after that.
const MAX_DROPPED_TIME: time::Duration = time::Duration::from_secs(10);

/// Derives from the sum of a data centre's loads how old they are: the sum of a busy data centre
/// changes all the time, unless its hub's digests no longer come.
#[derive(Debug, Clone, Default)]
pub struct LoadAge {
    sum: loads::TargetLoad,
    changed_at: times::BootTime,
}

impl LoadAge {
    /// Records the present sum of the loads.
    pub fn record(&mut self, sum: loads::TargetLoad, now: times::BootTime) {
        let age = self.age(now);
        let is_dropped = sum == loads::TargetLoad::default() && age >= FROZEN_TIME;
        if sum == self.sum || (is_dropped && age < MAX_DROPPED_TIME) {
            return;
        }
        self.sum = sum;
        self.changed_at = now;
    }

    /// Returns the time since the sum changed; zero if it need not have changed.
    pub fn age(&self, now: times::BootTime) -> time::Duration {
        if self.sum.running + self.sum.waiting < MIN_REQUESTS {
            return time::Duration::ZERO;
        }
        now.since(self.changed_at)
    }
}
