//! A model of the targets of a data centre and the shares of its nodes.

use std::{collections, time};

use pier_limits::shares;
use pier_types::{epochs, ids, sizes, times};
use pier_wire::messages;

pub const TARGETS: u32 = 6;
pub const LIMIT: sizes::RequestCount = sizes::RequestCount::new(24);
const TERM: epochs::LeaseTerm = epochs::LeaseTerm::new(1);
const LEASE: time::Duration = time::Duration::from_mins(1);
/// Minimum number of requests that a node wants to start beyond those in flight; the same as in
/// the daemon.
const MIN_HEADROOM: u32 = 2;

type DemandMap = collections::BTreeMap<messages::ShareKey, shares::ShareDemand>;

/// A running request.
struct ModelWork {
    key: messages::ShareKey,
    node: usize,
    ends_at: times::BootTime,
}

/// One node's view of its shares.
struct ModelNode {
    name: ids::NodeName,
    holding: shares::ShareHolding,
    schedule: shares::AskSchedule,
    /// The wanted number of each target in the last ask.
    last_wanted: collections::BTreeMap<messages::ShareKey, u32>,
}

/// A data centre.
pub struct BurstModel {
    keys: Vec<messages::ShareKey>,
    ledger: shares::ShareLedger,
    nodes: Vec<ModelNode>,
    split: shares::StaticSplit,
    work: Vec<ModelWork>,
    /// Whether a node uses at most the number that it last wanted, even if it was granted more.
    only_wanted: bool,
    pub asks: u32,
}

impl BurstModel {
    pub fn new(nodes: usize, only_wanted: bool) -> Self {
        let policy = shares::SharePolicy::default();
        let slots = u32::try_from(nodes).unwrap_or(u32::MAX);
        let now = times::BootTime::default();
        let names = (0..nodes).filter_map(|node| format!("node-{node}").parse().ok());
        let names: Vec<ids::NodeName> = names.collect();
        let mut ledger = shares::ShareLedger::new(policy, TERM, now, slots, [].into());
        ledger.record_nodes(names.iter().cloned().collect());
        let vms = (0..TARGETS).filter_map(|number| format!("vm-{number}").parse().ok());
        let keys = vms.map(|vm| messages::ShareKey::of(&ids::TargetId::Vm(vm), 1));
        let node = |name| ModelNode {
            name,
            holding: shares::ShareHolding::new(policy),
            schedule: shares::AskSchedule::default(),
            last_wanted: collections::BTreeMap::new(),
        };
        Self {
            keys: keys.collect(),
            ledger,
            nodes: names.into_iter().map(node).collect(),
            split: shares::StaticSplit::new(slots, policy.life),
            work: Vec::new(),
            only_wanted,
            asks: 0,
        }
    }

    /// Ends the requests that are over; returns the maximum excess over a limit.
    pub fn advance(&mut self, now: times::BootTime) -> u32 {
        self.work.retain(|work| now < work.ends_at);
        let loads = self.keys.iter().map(|key| self.running(*key, None));
        let worst = loads.max().unwrap_or(0);
        worst.saturating_sub(LIMIT.get())
    }

    /// Lets each node ask whose ask is due.
    pub fn share(&mut self, now: times::BootTime) {
        let limits = self.keys.iter().map(|key| (*key, LIMIT)).collect();
        self.ledger.set_limits(&limits, now);
        for index in 0..self.nodes.len() {
            let demand = self.demand(index, now);
            if self.is_due(index, &demand, now) {
                self.ask(index, &demand, now);
            }
        }
    }

    /// Starts a request at the least loaded target with capacity for this node; returns false if
    /// there is none.
    pub fn start(&mut self, node: usize, ends_at: times::BootTime, now: times::BootTime) -> bool {
        let keys = self.keys.iter().copied();
        let with_room = keys.filter(|key| self.has_capacity(node, *key, now));
        let Some(key) = with_room.min_by_key(|key| self.running(*key, None)) else {
            return false;
        };
        self.work.push(ModelWork { key, node, ends_at });
        true
    }

    /// Returns the free capacity of all targets.
    pub fn free_capacity(&self) -> u32 {
        let busy = u32::try_from(self.work.len()).unwrap_or(u32::MAX);
        (LIMIT.get() * TARGETS).saturating_sub(busy)
    }

    fn is_due(&self, index: usize, demand: &DemandMap, now: times::BootTime) -> bool {
        if self.only_wanted {
            return now.as_micros().is_multiple_of(1_000_000);
        }
        let node = &self.nodes[index];
        node.schedule.is_due(TERM, demand, &node.holding, now)
    }

    fn ask(&mut self, index: usize, demand: &DemandMap, now: times::BootTime) {
        self.asks += 1;
        let node = &mut self.nodes[index];
        node.schedule.record_ask(TERM, demand, now);
        let last_wanted = demand.iter().map(|(key, need)| (*key, need.wanted.get()));
        node.last_wanted = last_wanted.collect();
        let ask = node.holding.ask(TERM, demand, now);
        let grant = self.ledger.answer(&node.name, &ask, now, now.after(LEASE));
        if let Some(grant) = grant {
            node.holding.apply_grant(&grant);
        }
    }

    fn demand(&self, node: usize, now: times::BootTime) -> DemandMap {
        let demand = |key: &messages::ShareKey| {
            let fixed = self.fixed(node, *key, now);
            let running = self.running(*key, Some(node));
            let headroom = MIN_HEADROOM.max(running / 2);
            let max_share = shares::LimitSplit::of(LIMIT).node_cap(self.slots());
            let wanted = (running + headroom).saturating_sub(fixed);
            let wanted = wanted.clamp(1, max_share.get().max(1));
            let need = shares::ShareDemand {
                running: sizes::RequestCount::new(running.saturating_sub(fixed)),
                wanted: sizes::RequestCount::new(wanted),
            };
            (*key, need)
        };
        self.keys.iter().map(demand).collect()
    }

    fn slots(&self) -> u32 {
        u32::try_from(self.nodes.len()).unwrap_or(u32::MAX)
    }

    fn has_capacity(&self, node: usize, key: messages::ShareKey, now: times::BootTime) -> bool {
        let mut granted = self.nodes[node].holding.share(key, now).get();
        if self.only_wanted {
            let last_wanted = self.nodes[node].last_wanted.get(&key).copied();
            granted = granted.min(last_wanted.unwrap_or_default());
        }
        self.running(key, Some(node)) < self.fixed(node, key, now) + granted
    }

    fn fixed(&self, node: usize, key: messages::ShareKey, now: times::BootTime) -> u32 {
        let slot = u32::try_from(node).unwrap_or(u32::MAX);
        let fixed = shares::LimitSplit::of(LIMIT).fixed;
        self.split.share(key, slot, fixed, now).get()
    }

    /// Returns the number of requests that are running at a target, of one node or of all.
    fn running(&self, key: messages::ShareKey, node: Option<usize>) -> u32 {
        let of_node = |work: &&ModelWork| node.is_none_or(|node| node == work.node);
        let work = self.work.iter().filter(|work| work.key == key);
        u32::try_from(work.filter(of_node).count()).unwrap_or(u32::MAX)
    }
}
