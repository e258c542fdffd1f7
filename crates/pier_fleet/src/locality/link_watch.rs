//! A node's evidence on the links to another data centre.

use std::{collections, time};

use pier_types::{ids, times};

/// How long a failed contact counts.
const FAILURE_LIFETIME: time::Duration = time::Duration::from_secs(1);

/// Targets with failed contacts, and no answer between, that show that links are cut. One target
/// alone has ended itself more often than its links have.
const MIN_FAILED_TARGETS: usize = 2;

/// How long a data centre is closed after its links were first found cut, and at most.
const CLOSED_TIMES: (time::Duration, time::Duration) =
    (time::Duration::from_secs(1), time::Duration::from_secs(4));

/// Weight of the newest delay in the mean, as a divisor.
const MEAN_WEIGHT: u32 = 8;

/// Greatest delay that is counted; a longer wait has another cause.
const MAX_DELAY: time::Duration = time::Duration::from_millis(400);

/// Time in which the mean delay halves, so that a data centre that gets no requests is tried again.
const HALF_LIFE: time::Duration = time::Duration::from_secs(2);

/// Decides from contacts with a data centre's targets whether its links work, and how long they
/// take.
#[derive(Debug, Clone, Default)]
pub struct LinkWatch {
    failed: collections::BTreeMap<ids::VmName, times::BootTime>,
    closed_until: times::BootTime,
    closed_time: time::Duration,
    delay: time::Duration,
    delayed_at: times::BootTime,
}

impl LinkWatch {
    /// Records that a target there was not reached or that its connection was lost; returns
    /// whether the data centre is closed from now on.
    pub fn record_failure(&mut self, vm: &ids::VmName, now: times::BootTime) -> bool {
        self.failed
            .retain(|_vm, at| now.since(*at) < FAILURE_LIFETIME);
        self.failed.insert(vm.clone(), now);
        // Once it was closed, one failure without an answer since is enough.
        let was_closed = !self.closed_time.is_zero();
        if self.is_closed(now) || (!was_closed && self.failed.len() < MIN_FAILED_TARGETS) {
            return false;
        }
        self.closed_time = (self.closed_time * 2).clamp(CLOSED_TIMES.0, CLOSED_TIMES.1);
        self.closed_until = now.after(self.closed_time);
        true
    }

    /// Records that a target there answered a request that was sent at `sent_at`.
    pub fn record_answer(&mut self, sent_at: times::BootTime) {
        self.failed.retain(|_vm, failed_at| *failed_at > sent_at);
        if sent_at >= self.closed_until {
            self.closed_time = time::Duration::ZERO;
        }
    }

    /// Records by how much a first event from there came later than expected.
    pub fn record_delay(&mut self, delay: time::Duration, now: times::BootTime) {
        let mean = self.delay(now) * (MEAN_WEIGHT - 1) + delay.min(MAX_DELAY);
        self.delay = mean / MEAN_WEIGHT;
        self.delayed_at = now;
    }

    /// Returns by how much first events from there lately came later than expected.
    pub fn delay(&self, now: times::BootTime) -> time::Duration {
        let halvings = now.since(self.delayed_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.delay.mul_f64((-halvings).exp2())
    }

    /// Returns whether the links count as cut.
    pub fn is_closed(&self, now: times::BootTime) -> bool {
        now < self.closed_until
    }
}
