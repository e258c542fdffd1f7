//! The lease holder's account of granted shares.

use std::collections;

use pier_types::{epochs, ids, sizes, times};
use pier_wire::messages;

use crate::shares;

/// Grants shares of each target's pool to nodes, during one term of the control lease.
///
/// For each node and target it keeps an upper bound of the requests that the node may have in
/// flight: the maximum of what the node kept, what it reported as running and what it was granted
/// last. The bound outlives the share by the longest time that a request can run, or until the
/// node reports less. The sum of the bounds stays within the pool. When a limit falls, nothing is
/// granted until the sum fits again.
///
/// A new lease holder does not know which shares an earlier one granted. Until work under such a
/// share must have ended, it assumes the maximum of one node for each recently recorded node that
/// has not sent a complete ask yet. Nodes that have sent one reported their shares in it.
///
/// Guarantees that a target receives no more load than it can handle.
#[derive(Debug)]
pub struct ShareLedger {
    policy: shares::SharePolicy,
    term: epochs::LeaseTerm,
    started_at: times::BootTime,
    slots: u32,
    recorded: collections::BTreeSet<ids::NodeName>,
    possible_holders: collections::BTreeSet<ids::NodeName>,
    ask_progress: collections::BTreeMap<ids::NodeName, shares::AskProgress>,
    targets: collections::BTreeMap<messages::ShareKey, shares::TargetAccount>,
}

impl ShareLedger {
    /// Creates the ledger of a node that gained the lease at `started_at`, not earlier than the
    /// end of the previous lease. `slots` is the fixed number of node slots of the data centre.
    ///
    /// `former` are the nodes that the lease record named within
    /// [`shares::SharePolicy::charge_time`].
    pub const fn new(
        policy: shares::SharePolicy,
        term: epochs::LeaseTerm,
        started_at: times::BootTime,
        slots: u32,
        former: collections::BTreeSet<ids::NodeName>,
    ) -> Self {
        Self {
            policy,
            term,
            started_at,
            slots,
            recorded: collections::BTreeSet::new(),
            possible_holders: former,
            ask_progress: collections::BTreeMap::new(),
            targets: collections::BTreeMap::new(),
        }
    }

    /// Sets the nodes of the lease record. Only these are granted shares, but nodes that the
    /// record no longer names may still hold some.
    pub fn record_nodes(&mut self, nodes: collections::BTreeSet<ids::NodeName>) {
        self.possible_holders.extend(nodes.iter().cloned());
        self.recorded = nodes;
    }

    /// Sets the current limit of each target. Other targets are granted no more shares, and are
    /// removed once none of their shares is in use.
    pub fn set_limits(
        &mut self,
        limits: &collections::BTreeMap<messages::ShareKey, sizes::RequestCount>,
        now: times::BootTime,
    ) {
        for (key, target) in &mut self.targets {
            target.limit = limits.get(key).copied().unwrap_or_default();
            target.expire(now);
        }
        self.targets.retain(|key, target| {
            limits.contains_key(key) || target.charged() > sizes::RequestCount::new(0)
        });
        for (key, limit) in limits {
            self.targets.entry(*key).or_default().limit = *limit;
        }
    }

    /// Answers an ask. Returns `None` if the ask is of another term, if its sender is not
    /// recorded, or if the lease is about to end.
    ///
    /// `lease_end` is when this node's lease ends. The caller reads the clock for `now` just
    /// before the call, so that a holder that was paused grants nothing.
    pub fn answer(
        &mut self,
        node: &ids::NodeName,
        ask: &messages::ShareAsk,
        now: times::BootTime,
        lease_end: times::BootTime,
    ) -> Option<messages::ShareGrant> {
        if ask.term != self.term || !self.recorded.contains(node) {
            return None;
        }
        if now.after(self.policy.lease_margin) >= lease_end {
            return None;
        }
        let entries = self
            .charge(node, ask, now)
            .into_iter()
            .filter_map(|entry| self.grant(node, entry.key, now))
            .collect();
        Some(messages::ShareGrant {
            round: ask.round,
            term: self.term,
            life_ms: u32::try_from(self.policy.life.as_millis()).unwrap_or(u32::MAX),
            entries,
        })
    }

    /// Returns the sum of the upper bounds of all nodes at one target.
    pub fn charged(&self, key: messages::ShareKey) -> sizes::RequestCount {
        let target = self.targets.get(&key);
        target.map_or_else(sizes::RequestCount::default, shares::TargetAccount::charged)
    }

    /// Records what the node keeps and has running; returns the entries that were new.
    fn charge(
        &mut self,
        node: &ids::NodeName,
        ask: &messages::ShareAsk,
        now: times::BootTime,
    ) -> Vec<messages::AskEntry> {
        let ends_at = now.after(self.policy.charge_time());
        let mut new_entries = Vec::new();
        for entry in &ask.entries {
            let target = self.targets.entry(entry.key).or_default();
            target.expire(now);
            if target.charge(node, ask.round, entry, ends_at) {
                new_entries.push(*entry);
            }
        }
        let count = u32::try_from(new_entries.len()).unwrap_or(u32::MAX);
        let progress = self.ask_progress.entry(node.clone()).or_default();
        if progress.add_entries(ask.round, count, ask.total) {
            for target in self.targets.values_mut() {
                target.remove_unnamed(node, ask.round);
            }
        }
        new_entries
    }

    fn grant(
        &mut self,
        node: &ids::NodeName,
        key: messages::ShareKey,
        now: times::BootTime,
    ) -> Option<messages::GrantEntry> {
        let unreported = self.unreported(now);
        let nodes = u32::try_from(self.recorded.len()).unwrap_or(u32::MAX);
        let target = self.targets.get_mut(&key)?;
        let cap = shares::LimitSplit::of(target.limit).node_cap(self.slots);
        let bounds = shares::GrantBounds {
            cap,
            unreported: sizes::RequestCount::new(cap.get().saturating_mul(unreported)),
            nodes,
        };
        Some(messages::GrantEntry {
            key,
            amount: target.grant(node, &bounds),
            limit: target.limit,
        })
    }

    /// Counts the nodes that may still have work running under an earlier holder's shares.
    fn unreported(&self, now: times::BootTime) -> u32 {
        if now.since(self.started_at) >= self.policy.charge_time() {
            return 0;
        }
        let reported = |node: &ids::NodeName| {
            self.ask_progress
                .get(node)
                .is_some_and(|progress| progress.reported)
        };
        let unreported = self
            .possible_holders
            .iter()
            .filter(|node| !reported(node))
            .count();
        u32::try_from(unreported).unwrap_or(u32::MAX)
    }
}
