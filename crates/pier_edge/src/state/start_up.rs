//! What a node has read since it started.

use std::{
    sync::atomic::{self, AtomicBool, AtomicU64},
    time,
};

use pier_types::times;
use tokio::sync::Notify;

const RELAXED: atomic::Ordering = atomic::Ordering::Relaxed;

/// Tracks which records a node has read since it started.
#[derive(Debug, Default)]
pub(crate) struct StartUp {
    listed: AtomicBool,
    /// When the nodes' records were read first, in microseconds; 0 before.
    nodes_read_at: AtomicU64,
    nodes_read: Notify,
}

impl StartUp {
    /// Records that the list of registrations has been read.
    pub(crate) fn set_listed(&self) {
        self.listed.store(true, RELAXED);
    }

    /// Returns whether the list of registrations has been read.
    pub(crate) fn is_listed(&self) -> bool {
        self.listed.load(RELAXED)
    }

    /// Records that the nodes' records have been read, and with them the record of crashes.
    pub(crate) fn set_nodes_read(&self, now: times::BootTime) {
        let micros = now.as_micros().max(1);
        if self
            .nodes_read_at
            .compare_exchange(0, micros, RELAXED, RELAXED)
            .is_ok()
        {
            self.nodes_read.notify_one();
        }
    }

    /// Returns whether the nodes' records have been read.
    pub(crate) fn has_read_nodes(&self) -> bool {
        self.nodes_read_at.load(RELAXED) > 0
    }

    /// Returns how long ago the nodes' records were read first; `None` before.
    pub(crate) fn nodes_read_for(&self, now: times::BootTime) -> Option<time::Duration> {
        let micros = self.nodes_read_at.load(RELAXED);
        (micros > 0).then(|| now.since(times::BootTime::from_micros(micros)))
    }

    /// Waits until the nodes' records are read for the first time; returns once for that.
    pub(crate) async fn wait_for_nodes(&self) {
        self.nodes_read.notified().await;
    }
}
