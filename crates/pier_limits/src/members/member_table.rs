//! The nodes that are known to this node.

use std::collections;

use pier_types::{epochs, ids, times};
use pier_wire::{messages, seals};

use crate::members;

/// A peer is sent the whole entry every this many heartbeats, in case it forgot this node.
const FULL_ENTRY_PERIOD: u64 = 10;

/// Learns of nodes from their own datagrams and from gossip.
///
/// Only a rising heartbeat shows that a node is alive; old gossip never brings a forgotten node
/// back. All nodes of this node's data centre are kept, but only a few of each other one.
///
/// ```
/// use pier_limits::members;
/// use pier_types::{epochs, times};
/// use pier_wire::{messages, seals};
///
/// let own = messages::MemberEntry {
///     node: "n1".parse()?,
///     instance: seals::NodeInstance::new(1),
///     data_centre: "mvd-a".parse()?,
///     address: "127.0.0.1:7400".parse()?,
///     beat: messages::MemberBeat {
///         heartbeat: 0,
///         config: epochs::ConfigVersion::new(0),
///         draining: false,
///     },
/// };
/// let mut table = members::MemberTable::new(own, members::MemberPolicy::default());
/// assert_eq!(table.beat(epochs::ConfigVersion::new(3), false).heartbeat, 1);
/// assert!(table.live_peers(times::BootTime::default()).is_empty());
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct MemberTable {
    pub(super) own: messages::MemberEntry,
    pub(super) policy: members::MemberPolicy,
    pub(super) records: collections::BTreeMap<ids::NodeName, members::MemberRecord>,
    tombstones: members::TombstoneList,
    pub(super) round: usize,
}

impl MemberTable {
    /// Creates a table that knows only this node.
    pub fn new(own: messages::MemberEntry, policy: members::MemberPolicy) -> Self {
        Self {
            own,
            policy,
            records: collections::BTreeMap::new(),
            tombstones: members::TombstoneList::default(),
            round: 0,
        }
    }

    /// Returns this node's own entry.
    pub const fn own(&self) -> &messages::MemberEntry {
        &self.own
    }

    /// Increments this node's heartbeat and returns the beat to send.
    pub const fn beat(
        &mut self,
        config: epochs::ConfigVersion,
        draining: bool,
    ) -> messages::MemberBeat {
        self.own.beat = messages::MemberBeat {
            heartbeat: self.own.beat.heartbeat + 1,
            config,
            draining,
        };
        self.own.beat
    }

    /// Returns the message that goes along with each datagram to a peer: usually the short beat;
    /// the whole entry every tenth time, and to a peer that was not heard from directly within
    /// the suspicion time.
    pub fn heartbeat_message(
        &self,
        peer: &ids::NodeName,
        now: times::BootTime,
    ) -> messages::PeerMessage {
        let direct_at = self.records.get(peer).and_then(|record| record.direct_at);
        let was_heard = direct_at.is_some_and(|at| now.since(at) <= self.policy.suspect_after);
        if was_heard && !self.own.beat.heartbeat.is_multiple_of(FULL_ENTRY_PERIOD) {
            return messages::PeerMessage::Beat(self.own.beat);
        }
        messages::PeerMessage::Members(vec![self.own.clone()])
    }

    /// Records a beat that a node sent itself. Returns false if the node or this run of it is not
    /// known; its next whole entry will change that.
    pub fn record_beat(
        &mut self,
        sender: &ids::NodeName,
        instance: seals::NodeInstance,
        beat: messages::MemberBeat,
        now: times::BootTime,
    ) -> bool {
        let Some(record) = self.records.get_mut(sender) else {
            return false;
        };
        if record.entry.instance != instance {
            return false;
        }
        record.direct_at = Some(now);
        advance(record, beat, now);
        true
    }

    /// Records gossip from a node; the sender's entry of itself counts as heard directly.
    pub fn record_entries(
        &mut self,
        sender: &ids::NodeName,
        entries: Vec<messages::MemberEntry>,
        now: times::BootTime,
    ) {
        for entry in entries {
            let direct = entry.node == *sender;
            self.record_entry(entry, direct, now);
        }
    }

    /// Forgets the nodes whose heartbeat has not risen within the policy's limit.
    pub fn tick(&mut self, now: times::BootTime) {
        let forget_after = self.policy.forget_after;
        let forgotten = self
            .records
            .extract_if(.., |_, record| now.since(record.heard_at) > forget_after);
        for (_, record) in forgotten {
            self.tombstones.insert(record.entry, now);
        }
        self.tombstones.expire(now);
    }

    fn record_entry(&mut self, entry: messages::MemberEntry, direct: bool, now: times::BootTime) {
        if entry.node == self.own.node || self.tombstones.covers(&entry) {
            return;
        }
        let direct_at = direct.then_some(now);
        let Some(record) = self.records.get_mut(&entry.node) else {
            self.admit(entry, direct_at, now);
            return;
        };
        if record.entry.instance == entry.instance {
            record.direct_at = record.direct_at.max(direct_at);
            advance(record, entry.beat, now);
            return;
        }
        // Another run of a node of the same name. Believe it if it sent the entry itself or the
        // earlier run is suspect.
        let silent = record.health(&self.policy, now) == members::MemberHealth::Suspect;
        if direct || silent {
            let heard_at = now;
            *record = members::MemberRecord {
                entry,
                heard_at,
                direct_at,
            };
        }
    }

    fn admit(
        &mut self,
        entry: messages::MemberEntry,
        direct_at: Option<times::BootTime>,
        now: times::BootTime,
    ) {
        let is_own_centre = entry.data_centre == self.own.data_centre;
        let capacity = if is_own_centre {
            self.policy.own_capacity
        } else {
            self.policy.other_capacity
        };
        let in_same_centre =
            |record: &&members::MemberRecord| record.entry.data_centre == entry.data_centre;
        let count = self.records.values().filter(in_same_centre).count();
        if count >= capacity && !self.evict_suspect(&entry.data_centre, now) {
            return;
        }
        let record = members::MemberRecord {
            entry,
            heard_at: now,
            direct_at,
        };
        self.records.insert(record.entry.node.clone(), record);
    }

    /// Makes room by removing the suspect node that was silent longest; returns false if no node
    /// is suspect.
    fn evict_suspect(&mut self, data_centre: &ids::DataCentreName, now: times::BootTime) -> bool {
        let suspect = self
            .records
            .values()
            .filter(|record| record.entry.data_centre == *data_centre)
            .filter(|record| record.health(&self.policy, now) == members::MemberHealth::Suspect)
            .min_by_key(|record| record.heard_at)
            .map(|record| record.entry.node.clone());
        suspect.is_some_and(|node| self.records.remove(&node).is_some())
    }
}

fn advance(record: &mut members::MemberRecord, beat: messages::MemberBeat, now: times::BootTime) {
    if beat.heartbeat > record.entry.beat.heartbeat {
        record.entry.beat = beat;
        record.heard_at = now;
    }
}
