//! The targets of the data centre and this node's fixed part of each.

use std::{collections, time};

use pier_limits::{shares, warmth};
use pier_types::{epochs, ids, sizes, times};
use pier_wire::messages;

use crate::{
    peers::{known_target, share_target},
    requests,
};

/// Time in which every node has heard of another number of slots.
const SLOT_SETTLE: time::Duration = time::Duration::from_secs(10);

/// Places wanted beyond those in use, at least.
const LEAST_HEADROOM: u32 = 2;

/// What this node has in flight at each target that requests see.
pub(super) type RunningMap =
    collections::BTreeMap<(ids::TargetId, epochs::GroupGeneration), sizes::RequestCount>;

/// What this node may have in flight at each target.
pub(super) type AllowedMap = collections::BTreeMap<ids::TargetId, sizes::RequestCount>;

/// Knows each target's limit, and what this node has and wants there.
#[derive(Debug)]
pub(super) struct TargetBook {
    targets: collections::BTreeMap<messages::ShareKey, known_target::KnownTarget>,
    split: shares::StaticSplit,
    /// How long work at a target that vanished may go on.
    keep: time::Duration,
}

impl TargetBook {
    /// Makes an empty book.
    pub(super) fn new(terms: shares::SharePolicy) -> Self {
        Self {
            targets: collections::BTreeMap::new(),
            split: shares::StaticSplit::new(1, SLOT_SETTLE),
            keep: terms.charge_time(),
        }
    }

    /// Changes the number of slots that fixed parts are dealt over.
    pub(super) fn resize(&mut self, slots: u32, now: times::BootTime) {
        self.split.resize(slots, now);
    }

    /// Takes in the targets of now; those that vanished are kept as long as work there may go on.
    pub(super) fn follow(
        &mut self,
        found: collections::BTreeMap<messages::ShareKey, share_target::ShareTarget>,
        now: times::BootTime,
    ) {
        for (key, target) in found {
            let known = self.targets.entry(key);
            let known =
                known.or_insert_with(|| known_target::KnownTarget::new(target.clone(), now));
            known.see(target, now);
        }
        let keep = self.keep;
        self.targets
            .retain(|_, known| now.since(known.seen_at) < keep);
    }

    /// Returns the present limit of each target.
    pub(super) fn limits(
        &self,
        now: times::BootTime,
    ) -> collections::BTreeMap<messages::ShareKey, sizes::RequestCount> {
        let targets = self.targets.iter();
        targets
            .map(|(key, known)| (*key, known.split(now).0))
            .collect()
    }

    /// Returns what this node has and would like to have beyond its fixed part; it wants nothing
    /// where it starts no more work.
    pub(super) fn demand(
        &self,
        slot: Option<u32>,
        running: &RunningMap,
        now: times::BootTime,
    ) -> collections::BTreeMap<messages::ShareKey, shares::ShareDemand> {
        let demand = |known: &known_target::KnownTarget| {
            let fixed = self.fixed(known, slot, now);
            let running = known.running(running);
            let headroom = LEAST_HEADROOM.max(running / 2);
            let wanted = if known.seen_at == now {
                let (_limit, split) = known.split(now);
                let most = split.node_cap(self.split.slots()).get().max(1);
                // At least 1, as a node that wants nothing is not lent what nobody wants.
                (running + headroom).saturating_sub(fixed).clamp(1, most)
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

    /// Returns what this node may have in flight at each target that is there, by its own evidence
    /// of warmth, and remembers it; `lent_until` is when lent shares have to last to count.
    pub(super) fn allow(
        &mut self,
        holding: &shares::ShareHolding,
        slot: Option<u32>,
        running: &RunningMap,
        lent_until: times::BootTime,
        now: times::BootTime,
    ) -> AllowedMap {
        let present = self.targets.iter();
        let present = present.filter(|(_, known)| known.seen_at == now);
        let allowed: Vec<_> = present
            .map(|(key, known)| (*key, self.allowed(known, holding, slot, lent_until, now)))
            .collect();
        let mut published = AllowedMap::new();
        for (key, allowed) in allowed {
            if let Some(known) = self.targets.get_mut(&key) {
                let running = sizes::RequestCount::new(known.running(running));
                known.greatest = allowed.max(running);
                published.insert(known.target.id.clone(), allowed);
            }
        }
        published
    }

    /// Takes in what a request saw; returns what this node may have in flight there from now on if
    /// the target's limit fell.
    pub(super) fn hear(
        &mut self,
        news: &requests::WarmthEvidence,
        holding: &shares::ShareHolding,
        slot: Option<u32>,
        lent_until: times::BootTime,
        now: times::BootTime,
    ) -> Option<sizes::RequestCount> {
        let key = messages::ShareKey::of(&news.target, news.generation.get());
        if !self.targets.get_mut(&key)?.hear(news, now) {
            return None;
        }
        let known = self.targets.get(&key)?;
        Some(self.allowed(known, holding, slot, lent_until, now))
    }

    /// Returns the targets that answer slower than those that can stand in for them.
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

    /// Returns what this node may have in flight at a target, by its own evidence of warmth.
    fn allowed(
        &self,
        known: &known_target::KnownTarget,
        holding: &shares::ShareHolding,
        slot: Option<u32>,
        lent_until: times::BootTime,
        now: times::BootTime,
    ) -> sizes::RequestCount {
        let (limit, _split) = known.split(now);
        let full = known.target.warm_limit;
        let lent = holding.limited_share(known.target.key, limit, full, lent_until);
        let fixed = self.fixed(known, slot, now);
        sizes::RequestCount::new(fixed.saturating_add(lent.get()))
    }

    /// Returns the share of a slot; none without one.
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
