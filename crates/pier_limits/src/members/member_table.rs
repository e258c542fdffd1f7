//! The nodes that this node knows.

use std::{collections, net};

use pier_types::{epochs, ids, times};
use pier_wire::{messages, seals};

use crate::{hashing, members};

/// Heartbeats after which a peer is sent the whole entry again, in case that it forgot this node.
const GREETING_PERIOD: u64 = 10;

/// Learns of nodes from their own datagrams and from gossip.
///
/// A heartbeat that rises is the only sign of life; old gossip never brings a forgotten node back.
/// Nodes of the own data centre are all remembered, of another one only a few.
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
    own: messages::MemberEntry,
    policy: members::MemberPolicy,
    records: collections::BTreeMap<ids::NodeName, members::MemberRecord>,
    tombstones: members::TombstoneList,
    round: usize,
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

    /// Raises the own heartbeat and returns the sign of life to send.
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

    /// Returns the message that goes along with each datagram to a peer: the short sign of life, or
    /// the whole entry to a peer that was not heard directly lately, and to each now and then.
    pub fn greeting(&self, peer: &ids::NodeName, now: times::BootTime) -> messages::PeerMessage {
        let direct_at = self.records.get(peer).and_then(|record| record.direct_at);
        let heard = direct_at.is_some_and(|at| now.since(at) <= self.policy.suspect_after);
        if heard && !self.own.beat.heartbeat.is_multiple_of(GREETING_PERIOD) {
            return messages::PeerMessage::Beat(self.own.beat);
        }
        messages::PeerMessage::Members(vec![self.own.clone()])
    }

    /// Takes in a node's own sign of life; false when the node is not known, which its next whole
    /// entry will change.
    pub fn hear_beat(
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

    /// Takes in gossip that a node sent; its entry of itself counts as direct.
    pub fn hear_entries(
        &mut self,
        sender: &ids::NodeName,
        entries: Vec<messages::MemberEntry>,
        now: times::BootTime,
    ) {
        for entry in entries {
            let direct = entry.node == *sender;
            self.hear_entry(entry, direct, now);
        }
    }

    /// Forgets nodes that were silent for long.
    pub fn tick(&mut self, now: times::BootTime) {
        let forget_after = self.policy.forget_after;
        let gone = self
            .records
            .extract_if(.., |_, record| now.since(record.heard_at) > forget_after);
        for (_, record) in gone {
            self.tombstones.bury(record.entry, now);
        }
        self.tombstones.expire(now);
    }

    /// Returns every known node with its health, this node left out.
    pub fn views(
        &self,
        now: times::BootTime,
    ) -> Vec<(&messages::MemberEntry, members::MemberHealth)> {
        self.records
            .values()
            .map(|record| (&record.entry, record.health(&self.policy, now)))
            .collect()
    }

    /// Returns the live nodes of the own data centre, this node left out.
    pub fn live_peers(
        &self,
        now: times::BootTime,
    ) -> collections::BTreeMap<ids::NodeName, messages::MemberEntry> {
        self.live(&self.own.data_centre, now)
            .map(|record| (record.entry.node.clone(), record.entry.clone()))
            .collect()
    }

    /// Returns the live, not draining nodes of a data centre from which datagrams came directly;
    /// requests are forwarded only to these.
    pub fn forward_peers(
        &self,
        data_centre: &ids::DataCentreName,
        now: times::BootTime,
    ) -> Vec<messages::MemberEntry> {
        let direct = |record: &&members::MemberRecord| {
            record
                .direct_at
                .is_some_and(|at| now.since(at) <= self.policy.suspect_after)
        };
        self.live(data_centre, now)
            .filter(direct)
            .filter(|record| !record.entry.beat.draining)
            .map(|record| record.entry.clone())
            .collect()
    }

    /// Returns when a node of the own data centre was last heard directly.
    pub fn peer_heard_at(&self) -> Option<times::BootTime> {
        self.records
            .values()
            .filter(|record| record.entry.data_centre == self.own.data_centre)
            .filter_map(|record| record.direct_at)
            .max()
    }

    /// Returns the highest configuration version that any node has told of.
    pub fn highest_config(&self) -> epochs::ConfigVersion {
        self.records
            .values()
            .map(|record| record.entry.beat.config)
            .fold(self.own.beat.config, epochs::ConfigVersion::max)
    }

    /// Returns the nodes of the own data centre that speak across, as this node sees it.
    pub fn delegates(&self, now: times::BootTime) -> collections::BTreeSet<ids::NodeName> {
        let peers = self.live(&self.own.data_centre, now);
        let mut scored = peers
            .filter(|record| !record.entry.beat.draining)
            .map(|record| &record.entry.node)
            .chain([&self.own.node])
            .map(|node| {
                (
                    hashing::score(b"delegate", node.as_str().as_bytes()),
                    node.clone(),
                )
            })
            .collect::<Vec<_>>();
        scored.sort_unstable_by(|one, two| two.cmp(one));
        scored.truncate(self.policy.delegates);
        scored.into_iter().map(|(_, node)| node).collect()
    }

    /// Plans one round: a few peers, a delegate's partners across, and one of the `seeds`, which
    /// are the addresses from the settings; other ones in each round.
    pub fn gossip(
        &mut self,
        seeds: &[net::SocketAddr],
        now: times::BootTime,
    ) -> members::GossipPlan {
        self.round = self.round.wrapping_add(1);
        let (near, far) = self
            .records
            .values()
            .partition::<Vec<_>, _>(|record| record.entry.data_centre == self.own.data_centre);
        let fanout = self.policy.fanout;
        let mut receivers = self.addresses(&near, "near", fanout);
        if self.delegates(now).contains(&self.own.node) {
            receivers.extend(self.addresses(&far, "far", fanout));
        }
        receivers.extend(choose(seeds, &self.seed("seed"), self.round, 1));
        receivers.remove(&self.own.address);
        members::GossipPlan {
            receivers,
            entries: self.sample(now),
        }
    }

    fn addresses(
        &self,
        records: &[&members::MemberRecord],
        purpose: &str,
        count: usize,
    ) -> collections::BTreeSet<net::SocketAddr> {
        let chosen = choose(records, &self.seed(purpose), self.round, count);
        chosen
            .into_iter()
            .map(|record| record.entry.address)
            .collect()
    }

    /// Returns the own entry and some of other live nodes.
    fn sample(&self, now: times::BootTime) -> Vec<messages::MemberEntry> {
        let known = self
            .records
            .values()
            .filter(|record| record.health(&self.policy, now) == members::MemberHealth::Alive)
            .collect::<Vec<_>>();
        let chosen = choose(&known, &self.seed("entry"), self.round, self.policy.sample);
        let others = chosen.into_iter().map(|record| record.entry.clone());
        [self.own.clone()].into_iter().chain(others).collect()
    }

    fn seed(&self, purpose: &str) -> Vec<u8> {
        [purpose.as_bytes(), self.own.node.as_str().as_bytes()].concat()
    }

    fn live(
        &self,
        data_centre: &ids::DataCentreName,
        now: times::BootTime,
    ) -> impl Iterator<Item = &members::MemberRecord> {
        self.records.values().filter(move |record| {
            record.entry.data_centre == *data_centre
                && record.health(&self.policy, now) == members::MemberHealth::Alive
        })
    }

    fn hear_entry(&mut self, entry: messages::MemberEntry, direct: bool, now: times::BootTime) {
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
        // Another run under the same name: it speaks for itself, or the earlier one fell silent.
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
        let own_centre = entry.data_centre == self.own.data_centre;
        let capacity = if own_centre {
            self.policy.own_capacity
        } else {
            self.policy.other_capacity
        };
        let same = |record: &&members::MemberRecord| record.entry.data_centre == entry.data_centre;
        let count = self.records.values().filter(same).count();
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

    /// Makes room by dropping the node that was silent longest, if one is suspect.
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

/// Takes a few items, other ones in each round.
///
/// The choice hashes the seed, the round and the place, so that receivers and entries are chosen
/// independently of each other. Turns of fixed length would send a receiver the same entries
/// each time.
fn choose<T: Copy>(items: &[T], seed: &[u8], round: usize, count: usize) -> Vec<T> {
    let mut scored = items
        .iter()
        .enumerate()
        .map(|(place, item)| (hashing::score(seed, &mixed(round, place)), *item))
        .collect::<Vec<_>>();
    scored.sort_unstable_by_key(|(score, _)| *score);
    scored.truncate(count);
    scored.into_iter().map(|(_, item)| item).collect()
}

fn mixed(round: usize, place: usize) -> Vec<u8> {
    [round.to_le_bytes(), place.to_le_bytes()].concat()
}
