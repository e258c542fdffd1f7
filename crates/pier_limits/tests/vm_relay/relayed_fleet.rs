//! Simulates the nodes of one data centre and the platform in virtual time.

use std::{collections, time};

use pier_limits::relays;
use pier_types::{epochs, ids, times, vms};
use pier_wire::messages;
use rand::{Rng as _, rngs};

/// Number of nodes of the fleet.
pub const NODES: usize = 5;

/// Maximum latency of a call or a datagram, in milliseconds.
const MAX_LATENCY: u64 = 1_500;

/// The platform's answer to a reading: the version of the list, and the list with its tag unless
/// the call named that tag.
type ReadAnswer = (u64, Option<(relays::VmMap, String)>);

/// A message in transit; `node` is its receiver, or the caller of the platform.
#[derive(Clone)]
enum Message {
    Reading {
        node: usize,
        tag: Option<String>,
    },
    Answer {
        node: usize,
        answer: Option<ReadAnswer>,
    },
    Pull {
        node: usize,
        from: usize,
        pull: messages::ListPull,
    },
    Note {
        node: usize,
        from: usize,
        note: messages::ListNote,
    },
}

struct FleetNode {
    relay: relays::VmRelay,
    /// How far its clock is ahead of the true time.
    clock_offset: time::Duration,
    paused_until: u64,
    version: u64,
    pulled_at: u64,
    ticked_at: u64,
}

/// The fleet with the platform and the network.
pub struct RelayedFleet {
    /// The version of the platform's list, which is also the incarnation of its first VM.
    pub version: u64,
    /// Number of readings that reached the platform.
    pub readings: usize,
    /// Probability that a datagram is lost, and that it is duplicated, in percent.
    pub loss: u32,
    /// The nodes that can not reach the platform.
    pub cut_off: collections::BTreeSet<usize>,
    /// Time between two ticks of a node, in milliseconds.
    pub tick: u64,
    /// The node that each node takes for the reader.
    pub reader: [usize; NODES],
    nodes: Vec<FleetNode>,
    in_transit: collections::BTreeMap<(u64, u64), Message>,
    enqueued: u64,
    max_latency: u64,
    random: rngs::StdRng,
}

fn name(node: usize) -> ids::NodeName {
    format!("n{node}").parse().unwrap()
}

fn entry(number: u64, incarnation: u64) -> vms::VmEntry {
    vms::VmEntry {
        name: format!("vm-{number}").parse().unwrap(),
        incarnation: epochs::VmIncarnation::new(incarnation),
        address: "127.0.0.1:80".parse().unwrap(),
        data_centre: "mvd-a".parse().unwrap(),
        domain: "d1".parse().unwrap(),
        pool: vms::VmPool::Accelerator,
        state: vms::VmState::Live,
    }
}

/// Returns the list at a version. Its first VM tells the version; others are added and removed.
fn list_at(version: u64) -> relays::VmMap {
    let others = (1..40).filter(|number| !(number + version).is_multiple_of(7));
    let entries = others.map(|number| entry(number, 1));
    let entries = entries.chain([entry(0, version)]);
    entries.map(|entry| (entry.name.clone(), entry)).collect()
}

impl RelayedFleet {
    pub fn new(mut random: rngs::StdRng) -> Self {
        let nodes = (0..NODES).map(|node| FleetNode {
            relay: relays::VmRelay::new(time::Duration::from_millis(random.random_range(0..400))),
            clock_offset: time::Duration::from_secs(100 + 1_000 * node as u64),
            paused_until: 0,
            version: 0,
            pulled_at: 0,
            ticked_at: 0,
        });
        let nodes = nodes.collect();
        Self {
            version: 1,
            readings: 0,
            loss: 0,
            tick: 0,
            cut_off: collections::BTreeSet::new(),
            reader: [0; NODES],
            nodes,
            in_transit: collections::BTreeMap::new(),
            enqueued: 0,
            max_latency: 5,
            random,
        }
    }

    /// Sets the maximum latency: long, so that messages overtake one another, or short.
    pub fn set_slow(&mut self, slow: bool) {
        self.max_latency = if slow { MAX_LATENCY } else { 5 };
    }

    /// Pauses a node until a time; messages that arrive meanwhile wait.
    pub fn pause(&mut self, node: usize, until: u64) {
        self.nodes[node].paused_until = until;
    }

    /// Returns the version of the list that a node has.
    pub fn held(&self, node: usize) -> u64 {
        self.nodes[node].version
    }

    /// Runs everything that is due at a time, in milliseconds, and checks that no node goes back
    /// to an older list.
    pub fn tick(&mut self, now: u64) {
        while let Some(((due, _), _)) = self.in_transit.first_key_value()
            && *due <= now
        {
            let (_, message) = self.in_transit.pop_first().unwrap();
            self.deliver(message, now);
        }
        for node in 0..NODES {
            let due_at = self.nodes[node].ticked_at + self.tick;
            if self.nodes[node].paused_until <= now && due_at <= now {
                self.nodes[node].ticked_at = now;
                self.act(node, now);
            }
        }
    }

    fn act(&mut self, node: usize, now: u64) {
        let clock = self.clock(node, now);
        let reader = self.reader[node];
        let role = if reader == node {
            relays::ListRole::Reader
        } else {
            relays::ListRole::Follower
        };
        let relay = &mut self.nodes[node].relay;
        if relay.is_reading_due(role, clock) {
            let tag = relay.start_reading(clock);
            if self.cut_off.contains(&node) {
                self.enqueue_after(5_000, Message::Answer { node, answer: None }, now);
            } else {
                self.enqueue(Message::Reading { node, tag }, now);
            }
        }
        if reader != node && now >= self.nodes[node].pulled_at + 1_000 {
            self.nodes[node].pulled_at = now;
            let pull = self.nodes[node].relay.pull(&name(reader), clock);
            self.send(
                Message::Pull {
                    node: reader,
                    from: node,
                    pull,
                },
                now,
            );
        }
    }

    fn deliver(&mut self, message: Message, now: u64) {
        let receiver = match &message {
            Message::Reading { .. } => None,
            Message::Answer { node, .. }
            | Message::Pull { node, .. }
            | Message::Note { node, .. } => Some(*node),
        };
        if let Some(node) = receiver
            && self.nodes[node].paused_until > now
        {
            let wait = self.nodes[node].paused_until - now;
            self.enqueue_after(wait, message, now);
            return;
        }
        match message {
            Message::Reading { node, tag } => self.answer_reading(node, tag.as_deref(), now),
            Message::Answer { node, answer } => self.end_reading(node, answer, now),
            Message::Pull { node, from, pull } => {
                let clock = self.clock(node, now);
                let note = self.nodes[node].relay.answer_pull(pull, clock);
                if let Some(note) = note {
                    self.send(
                        Message::Note {
                            node: from,
                            from: node,
                            note,
                        },
                        now,
                    );
                }
            }
            Message::Note { node, from, note } => {
                let clock = self.clock(node, now);
                let event = self.nodes[node]
                    .relay
                    .receive_note(&name(from), note, clock);
                self.check(node, event);
            }
        }
    }

    fn answer_reading(&mut self, node: usize, tag: Option<&str>, now: u64) {
        self.readings += 1;
        let current = self.version.to_string();
        let body = (tag != Some(&current)).then(|| (list_at(self.version), current));
        let answer = Some((self.version, body));
        self.enqueue(Message::Answer { node, answer }, now);
    }

    fn end_reading(&mut self, node: usize, answer: Option<ReadAnswer>, now: u64) {
        let outcome = match answer {
            None => relays::ReadingOutcome::Failed,
            Some((_version, None)) => relays::ReadingOutcome::Unchanged,
            Some((_version, Some((list, tag)))) => {
                let tag = Some(tag);
                relays::ReadingOutcome::Listed { list, tag }
            }
        };
        let clock = self.clock(node, now);
        let event = self.nodes[node].relay.end_reading(outcome, clock);
        self.check(node, event);
    }

    fn check(&mut self, node: usize, event: relays::RelayEvent) {
        let fleet_node = &mut self.nodes[node];
        let Some(list) = fleet_node.relay.list() else {
            return;
        };
        let version = list[&"vm-0".parse().unwrap()].incarnation.get();
        assert!(
            version >= fleet_node.version,
            "node {node} went back from list {} to {version}: {event:?}",
            fleet_node.version
        );
        assert_eq!(
            *list,
            list_at(version),
            "a list that the platform never had"
        );
        fleet_node.version = version;
    }

    /// Sends a datagram, which may be lost, duplicated or overtaken.
    fn send(&mut self, message: Message, now: u64) {
        let duplicate = message.clone();
        if self.random.random_range(0..100) >= self.loss {
            self.enqueue(message, now);
        }
        if self.random.random_range(0..100) < self.loss {
            self.enqueue(duplicate, now);
        }
    }

    fn enqueue(&mut self, message: Message, now: u64) {
        let latency = self.random.random_range(1..=self.max_latency);
        self.enqueue_after(latency, message, now);
    }

    fn enqueue_after(&mut self, wait: u64, message: Message, now: u64) {
        self.enqueued += 1;
        self.in_transit.insert((now + wait, self.enqueued), message);
    }

    fn clock(&self, node: usize, now: u64) -> times::BootTime {
        times::BootTime::from_millis(now).after(self.nodes[node].clock_offset)
    }
}
