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
    /// When this node's own record was written first, in microseconds; 0 before.
    record_written_at: AtomicU64,
    own_record_read: AtomicBool,
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

    /// Records that this node's own record has been written.
    pub(crate) fn set_record_written(&self, now: times::BootTime) {
        let micros = now.as_micros().max(1);
        // Only the first time counts.
        let _former = self
            .record_written_at
            .compare_exchange(0, micros, RELAXED, RELAXED);
    }

    /// Returns how long ago this node's own record was written first; `None` before.
    pub(crate) fn record_written_for(&self, now: times::BootTime) -> Option<time::Duration> {
        let micros = self.record_written_at.load(RELAXED);
        (micros > 0).then(|| now.since(times::BootTime::from_micros(micros)))
    }

    /// Records that this node's own record has been read.
    pub(crate) fn set_own_record_read(&self) {
        self.own_record_read.store(true, RELAXED);
    }

    /// Returns whether this node's own record has been read.
    pub(crate) fn has_read_own_record(&self) -> bool {
        self.own_record_read.load(RELAXED)
    }

    /// Waits until the nodes' records are read for the first time; returns once for that.
    pub(crate) async fn wait_for_nodes(&self) {
        self.nodes_read.notified().await;
    }
}
