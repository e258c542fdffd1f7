//! Tombstones of forgotten nodes.

use std::{collections, time};

use pier_types::{ids, times};
use pier_wire::messages;

/// How long old gossip is kept from bringing a forgotten node back.
const TOMBSTONE_TIME: time::Duration = time::Duration::from_mins(5);

/// Maximum number of forgotten nodes that are remembered.
const TOMBSTONE_CAPACITY: usize = 512;

/// Keeps old gossip from bringing forgotten nodes back.
#[derive(Debug, Default)]
pub(crate) struct TombstoneList {
    tombstones: collections::BTreeMap<ids::NodeName, Tombstone>,
}

#[derive(Debug)]
struct Tombstone {
    entry: messages::MemberEntry,
    forgotten_at: times::BootTime,
}

impl TombstoneList {
    pub(crate) fn insert(&mut self, entry: messages::MemberEntry, now: times::BootTime) {
        let tombstone = Tombstone {
            entry: entry.clone(),
            forgotten_at: now,
        };
        self.tombstones.insert(entry.node, tombstone);
        if self.tombstones.len() > TOMBSTONE_CAPACITY {
            self.drop_oldest();
        }
    }

    /// Returns whether an entry is not newer than what was known when its node was forgotten.
    pub(crate) fn covers(&self, entry: &messages::MemberEntry) -> bool {
        self.tombstones.get(&entry.node).is_some_and(|tombstone| {
            tombstone.entry.instance == entry.instance
                && entry.beat.heartbeat <= tombstone.entry.beat.heartbeat
        })
    }

    pub(crate) fn expire(&mut self, now: times::BootTime) {
        self.tombstones
            .retain(|_, tombstone| now.since(tombstone.forgotten_at) < TOMBSTONE_TIME);
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .tombstones
            .iter()
            .min_by_key(|(_, tombstone)| tombstone.forgotten_at);
        if let Some(node) = oldest.map(|(node, _)| node.clone()) {
            self.tombstones.remove(&node);
        }
    }
}
