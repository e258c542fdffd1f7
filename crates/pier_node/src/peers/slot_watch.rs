//! Follows the node slots in the lease record.

use std::{collections, time};

use pier_control::leases;
use pier_limits::shares;
use pier_types::{ids, times};

/// Tracks this node's slot, and which nodes may still have work running under a share.
#[derive(Debug)]
pub(super) struct SlotWatch {
    ownership: shares::SlotOwnership,
    /// How long a node may still have work under a share after it left the record.
    retention: time::Duration,
    /// When each node was last named by the record.
    recorded_at: collections::BTreeMap<ids::NodeName, times::BootTime>,
    record_nonce: Option<ids::WriteNonce>,
    records_since_pause: u32,
}

impl SlotWatch {
    /// Creates a watch that has seen no record.
    pub(super) fn new(node: ids::NodeName, policy: shares::SharePolicy) -> Self {
        Self {
            ownership: shares::SlotOwnership::new(node, policy.work_limit),
            retention: policy.charge_time(),
            recorded_at: collections::BTreeMap::new(),
            record_nonce: None,
            records_since_pause: 0,
        }
    }

    /// Records that the node is running; returns whether it was paused since the last tick.
    pub(super) fn tick(&mut self, now: times::BootTime) -> bool {
        let paused = self.ownership.tick(now);
        if paused {
            self.records_since_pause = 0;
        }
        paused
    }

    /// Records the newest lease record.
    ///
    /// After a pause the slot is valid only from the second new record on, as the read of the first
    /// one may have been sent before the pause.
    pub(super) fn observe(&mut self, record: &leases::LeaseRecord, now: times::BootTime) {
        if self.record_nonce != Some(record.nonce) {
            self.record_nonce = Some(record.nonce);
            self.records_since_pause += 1;
        }
        let asked_at = if self.records_since_pause > 1 {
            now
        } else {
            times::BootTime::default()
        };
        self.ownership.observe(&record.roster.slots, asked_at, now);
        for node in record.roster.slots.values() {
            self.recorded_at.insert(node.clone(), now);
        }
        self.recorded_at
            .retain(|_, recorded_at| now.since(*recorded_at) < self.retention);
    }

    /// Returns the slot whose shares may be used now.
    pub(super) fn slot(&self, now: times::BootTime) -> Option<u32> {
        self.ownership.slot(now)
    }

    /// Returns the nodes that may still have work under a share.
    pub(super) fn former_nodes(&self) -> collections::BTreeSet<ids::NodeName> {
        self.recorded_at.keys().cloned().collect()
    }
}
