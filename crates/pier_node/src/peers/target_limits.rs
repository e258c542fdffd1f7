//! The limits of the data centre's targets, and this node's fixed share of each.

use std::{collections, time};

use pier_limits::{shares, warmth};
use pier_types::{epochs, ids, sizes, times};
use pier_wire::messages;

use crate::{
    peers::{known_target, share_target},
    requests,
};

/// Time after which every node knows of a changed number of slots.
const SLOT_CHANGE_DELAY: time::Duration = time::Duration::from_secs(10);

/// Minimum number of requests to ask for beyond those in flight.
const MIN_HEADROOM: u32 = 2;

/// This node's requests in flight at each target of the route table.
pub(super) type RunningMap =
    collections::BTreeMap<(ids::TargetId, epochs::GroupGeneration), sizes::RequestCount>;

/// How many requests this node may have in flight at each target.
pub(super) type AllowedMap = collections::BTreeMap<ids::TargetId, sizes::RequestCount>;

/// Tracks each target's limit, and this node's use and demand there.
#[derive(Debug)]
pub(super) struct TargetLimits {
    targets: collections::BTreeMap<messages::ShareKey, known_target::KnownTarget>,
    split: shares::StaticSplit,
    /// How long work at a target that is gone may continue.
    retention: time::Duration,
}

impl TargetLimits {
    /// Creates an empty set of targets.
    pub(super) fn new(policy: shares::SharePolicy) -> Self {
        Self {
            targets: collections::BTreeMap::new(),
            split: shares::StaticSplit::new(1, SLOT_CHANGE_DELAY),
            retention: policy.charge_time(),
        }
    }

    /// Sets the number of slots over which the fixed parts are split.
    pub(super) fn resize(&mut self, slots: u32, now: times::BootTime) {
        self.split.resize(slots, now);
    }

    /// Updates the targets. Those that are gone are kept as long as work there may continue.
    pub(super) fn update(
        &mut self,
        found: collections::BTreeMap<messages::ShareKey, share_target::ShareTarget>,
        now: times::BootTime,
    ) {
        for (key, target) in found {
            let known = self.targets.entry(key);
            let known =
                known.or_insert_with(|| known_target::KnownTarget::new(target.clone(), now));
            known.update(target, now);
        }
        let retention = self.retention;
        self.targets
            .retain(|_, known| now.since(known.seen_at) < retention);
    }

    /// Returns the current limit of each target.
    pub(super) fn limits(
        &self,
        now: times::BootTime,
    ) -> collections::BTreeMap<messages::ShareKey, sizes::RequestCount> {
        let targets = self.targets.iter();
        targets
            .map(|(key, known)| (*key, known.split(now).0))
            .collect()
    }

    /// Returns what this node uses and wants beyond its fixed share. It wants nothing at targets that
    /// are gone, as it starts no more work there.
    pub(super) fn demand(
        &self,
        slot: Option<u32>,
        running: &RunningMap,
        now: times::BootTime,
    ) -> collections::BTreeMap<messages::ShareKey, shares::ShareDemand> {
        let demand = |known: &known_target::KnownTarget| {
            let fixed = self.fixed(known, slot, now);
            let running = known.running(running);
            let headroom = MIN_HEADROOM.max(running / 2);
            let wanted = if known.seen_at == now {
                let (_limit, split) = known.split(now);
                let max = split.node_cap(self.split.slots()).get().max(1);
                // At least 1: a node that wants nothing gets no part of the unclaimed rest.
                (running + headroom).saturating_sub(fixed).clamp(1, max)
            } else {
                0
            };
            shares::ShareDemand {
                running: sizes::RequestCount::new(running.saturating_sub(fixed)),
                wanted: sizes::RequestCount::new(wanted),
            }
        };
        let targets = self.targets.iter();
        targets.map(|(key, known)| (*key, demand(known))).collect()
    }

    /// Returns what this node may have in flight at each current target, limited by its own evidence
    /// of warmth, and stores it. Grants count only if they last until `granted_until`.
    pub(super) fn allow(
        &mut self,
        holding: &shares::ShareHolding,
        slot: Option<u32>,
        running: &RunningMap,
        granted_until: times::BootTime,
        now: times::BootTime,
    ) -> AllowedMap {
        let current = self.targets.iter();
        let current = current.filter(|(_, known)| known.seen_at == now);
        let allowed: Vec<_> = current
            .map(|(key, known)| (*key, self.allowed(known, holding, slot, granted_until, now)))
            .collect();
        let mut published = AllowedMap::new();
        for (key, allowed) in allowed {
            if let Some(known) = self.targets.get_mut(&key) {
                let running = sizes::RequestCount::new(known.running(running));
                known.max_in_flight = allowed.max(running);
                published.insert(known.target.id.clone(), allowed);
            }
        }
        published
    }

    /// Records what a request observed; if this lowered the target's limit, returns what this node
    /// may have in flight there from now on.
    pub(super) fn record_warmth(
        &mut self,
        evidence: &requests::WarmthEvidence,
        holding: &shares::ShareHolding,
        slot: Option<u32>,
        granted_until: times::BootTime,
        now: times::BootTime,
    ) -> Option<sizes::RequestCount> {
        let key = messages::ShareKey::of(&evidence.target, evidence.generation.get());
        if !self.targets.get_mut(&key)?.record_warmth(evidence, now) {
            return None;
        }
        let known = self.targets.get(&key)?;
        Some(self.allowed(known, holding, slot, granted_until, now))
    }

    /// Returns the targets that answer more slowly than the others of their pool.
    pub(super) fn slow_targets(
        &self,
        now: times::BootTime,
    ) -> collections::BTreeSet<ids::TargetId> {
        let mut pools: collections::BTreeMap<_, collections::BTreeMap<_, _>> =
            collections::BTreeMap::new();
        for known in self.targets.values().filter(|known| known.seen_at == now) {
            let pool = pools.entry(&known.target.pool).or_default();
            pool.insert(known.target.id.clone(), known.ramp.latency());
        }
        let slow = pools.values().flat_map(warmth::SlowTargets::find);
        slow.collect()
    }

    /// Returns what this node may have in flight at a target, limited by its own evidence of warmth.
    fn allowed(
        &self,
        known: &known_target::KnownTarget,
        holding: &shares::ShareHolding,
        slot: Option<u32>,
        granted_until: times::BootTime,
        now: times::BootTime,
    ) -> sizes::RequestCount {
        let (limit, _split) = known.split(now);
        let full = known.target.warm_limit;
        let granted = holding.limited_share(known.target.key, limit, full, granted_until);
        let fixed = self.fixed(known, slot, now);
        sizes::RequestCount::new(fixed.saturating_add(granted.get()))
    }

    /// Returns a slot's fixed share, or 0 without a slot.
    fn fixed(
        &self,
        known: &known_target::KnownTarget,
        slot: Option<u32>,
        now: times::BootTime,
    ) -> u32 {
        let (_limit, split) = known.split(now);
        let share = |slot| {
            self.split
                .share(known.target.key, slot, split.fixed, now)
                .get()
        };
        slot.map_or(0, share)
    }
}
