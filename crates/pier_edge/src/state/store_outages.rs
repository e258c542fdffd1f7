//! Outages of the store, as shared by the loops of a node.

use std::{
    sync::atomic::{self, AtomicBool, AtomicU64},
    time,
};

use pier_types::times;
use tokio::sync::watch;

const RELAXED: atomic::Ordering = atomic::Ordering::Relaxed;

/// Whether this node's loops find the store away, and how long its last outage was.
#[derive(Debug, Default)]
pub(crate) struct StoreOutages {
    returns: watch::Sender<time::Duration>,
    /// When the last outage ended, in microseconds; 0 before.
    ended_at: AtomicU64,
    is_probe_failing: AtomicBool,
}

impl StoreOutages {
    /// Records whether the last call failed of the loop that keeps calling the store in an outage.
    pub(crate) fn set_probe_failing(&self, is_failing: bool) {
        self.is_probe_failing.store(is_failing, RELAXED);
    }

    pub(crate) fn is_probe_failing(&self) -> bool {
        self.is_probe_failing.load(RELAXED)
    }

    /// Records that the store answers a loop again whose calls had failed since a time; the first one
    /// after an outage wakes the others.
    pub(crate) fn record_return(&self, failing_since: times::BootTime, now: times::BootTime) {
        let ended_at = self.ended_at.fetch_max(now.as_micros(), RELAXED);
        if ended_at <= failing_since.as_micros() {
            self.returns.send_replace(now.since(failing_since));
        }
    }

    /// Records that the loop that keeps calling the store relies on the steward instead, which reaches
    /// the store; wakes the loops that wait for its success.
    pub(crate) fn record_steward(&self) {
        if self.is_probe_failing.swap(false, RELAXED) {
            self.returns.send_replace(time::Duration::ZERO);
        }
    }

    /// Returns a receiver that changes to the length of the outage when the store answers again from
    /// now on.
    pub(crate) fn watch_returns(&self) -> watch::Receiver<time::Duration> {
        self.returns.subscribe()
    }
}
