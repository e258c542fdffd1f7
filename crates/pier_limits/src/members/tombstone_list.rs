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
    graves: collections::BTreeMap<ids::NodeName, Tombstone>,
}

#[derive(Debug)]
struct Tombstone {
    entry: messages::MemberEntry,
    forgotten_at: times::BootTime,
}

impl TombstoneList {
    pub(crate) fn bury(&mut self, entry: messages::MemberEntry, now: times::BootTime) {
        let tombstone = Tombstone {
            entry: entry.clone(),
            forgotten_at: now,
        };
        self.graves.insert(entry.node, tombstone);
        if self.graves.len() > TOMBSTONE_CAPACITY {
            self.drop_oldest();
        }
    }

    /// Returns whether an entry is not newer than what was known when its node was forgotten.
    pub(crate) fn covers(&self, entry: &messages::MemberEntry) -> bool {
        self.graves.get(&entry.node).is_some_and(|grave| {
            grave.entry.instance == entry.instance
                && entry.beat.heartbeat <= grave.entry.beat.heartbeat
        })
    }

    pub(crate) fn expire(&mut self, now: times::BootTime) {
        self.graves
            .retain(|_, grave| now.since(grave.forgotten_at) < TOMBSTONE_TIME);
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .graves
            .iter()
            .min_by_key(|(_, grave)| grave.forgotten_at);
        if let Some(node) = oldest.map(|(node, _)| node.clone()) {
            self.graves.remove(&node);
        }
    }
}
