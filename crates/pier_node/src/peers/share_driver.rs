//! Shares the limits of the data centre's targets with the other nodes.

use std::{collections, sync, time};

use pier_control::leases;
use pier_limits::{shares, warmth};
use pier_types::{epochs, ids, sizes, times};
use pier_wire::messages;

use crate::{
    handle,
    peers::{known_target, share_target},
    requests,
};

/// Time between two questions.
const ROUND: time::Duration = time::Duration::from_secs(1);

/// A published share ends this long before it does, as requests see it a little later.
const PUBLISH_MARGIN: time::Duration = time::Duration::from_millis(500);

/// Time in which every node has heard of another number of slots.
const SLOT_SETTLE: time::Duration = time::Duration::from_secs(10);

/// Places wanted beyond those in use, at least.
const LEAST_HEADROOM: u32 = 2;

type RunningMap =
    collections::BTreeMap<(ids::TargetId, epochs::GroupGeneration), sizes::RequestCount>;

/// Owns this node's part of each limit and, with the lease, the account of all parts.
#[derive(Debug)]
pub(super) struct ShareDriver {
    handle: handle::NodeHandle,
    terms: shares::ShareTerms,
    split: shares::StaticSplit,
    tenure: shares::SlotTenure,
    holding: shares::ShareHolding,
    ledger: Option<(epochs::LeaseTerm, shares::ShareLedger)>,
    targets: collections::BTreeMap<messages::ShareKey, known_target::KnownTarget>,
    /// When each node was last named by the lease record.
    recorded_at: collections::BTreeMap<ids::NodeName, times::BootTime>,
    record_nonce: Option<ids::LeaseNonce>,
    records_since_pause: u32,
    /// Wishes of the round for which shares were lowered, until its question is asked.
    lowered: Option<collections::BTreeMap<messages::ShareKey, sizes::RequestCount>>,
    round_at: times::BootTime,
    new_work: bool,
}

impl ShareDriver {
    /// Makes a driver that has a part of nothing.
    pub(super) fn new(handle: handle::NodeHandle) -> Self {
        let terms = shares::ShareTerms::default();
        Self {
            terms,
            split: shares::StaticSplit::new(1, SLOT_SETTLE),
            tenure: shares::SlotTenure::new(handle.name().clone(), terms.work_limit),
            holding: shares::ShareHolding::new(terms),
            ledger: None,
            targets: collections::BTreeMap::new(),
            recorded_at: collections::BTreeMap::new(),
            record_nonce: None,
            records_since_pause: 0,
            lowered: None,
            round_at: times::BootTime::default(),
            new_work: true,
            handle,
        }
    }

    /// Brings everything up to date and publishes the shares; returns the question to send to the
    /// lease holder, if one is due.
    pub(super) fn tick(
        &mut self,
        now: times::BootTime,
    ) -> Option<(ids::NodeName, messages::ShareAsk)> {
        if self.tenure.tick(now) {
            self.holding.drop_all();
            self.lowered = None;
            self.records_since_pause = 0;
        }
        let lease = self.handle.lease();
        self.follow_lease(lease.as_deref(), now);
        self.follow_targets(now);
        if self.lowered.is_none() && now.since(self.round_at) >= ROUND {
            self.round_at = now;
            let wanted = self.wanted(now);
            self.holding.give_up(&wanted);
            self.lowered = Some(wanted);
            self.mark_slow(now);
        }
        self.publish(now);
        let record = &lease?.record;
        let ask = self.ask(record.term, now)?;
        if record.holder != *self.handle.name() {
            return Some((record.holder.clone(), ask));
        }
        let own = self.handle.name().clone();
        if let Some(grant) = self.answer(&own, &ask, now) {
            self.take(&grant);
        }
        None
    }

    /// Says whether this node may take new work at all; else it publishes no share.
    pub(super) const fn allow_new_work(&mut self, allowed: bool) {
        self.new_work = allowed;
    }

    /// Answers a question, if this node holds the lease.
    pub(super) fn answer(
        &mut self,
        node: &ids::NodeName,
        ask: &messages::ShareAsk,
        now: times::BootTime,
    ) -> Option<messages::ShareGrant> {
        let lease_end = self.handle.lease()?.held_until?;
        let limits = self.limits(now);
        let (_term, ledger) = self.ledger.as_mut()?;
        ledger.set_limits(&limits, now);
        ledger.answer(node, ask, now, lease_end)
    }

    /// Takes in what a request saw of a target; a limit that falls binds requests at once.
    pub(super) fn hear(&mut self, news: &requests::WarmthNews, now: times::BootTime) {
        let key = messages::ShareKey::of(&news.target, news.generation.get());
        let Some(known) = self.targets.get_mut(&key) else {
            return;
        };
        if !known.hear(news, now) {
            return;
        }
        let limit = known.ramp.limit(now);
        let allowed = self.allowed(key, now);
        log::warn!(
            event = "target-cold-again",
            target:% = news.target,
            sign:? = news.sign,
            limit = limit.get(),
            share = allowed.get();
            ""
        );
        let bounds = collections::BTreeMap::from([(news.target.clone(), allowed)]);
        self.handle.requests().bound_targets(&bounds);
    }

    /// Takes in the lease holder's answer.
    pub(super) fn take(&mut self, grant: &messages::ShareGrant) {
        self.holding.take(grant);
    }

    /// Follows the record's slots and opens an account when this node gains the lease.
    ///
    /// After a pause the second new record counts: the read that brought the first one may have
    /// been sent before.
    fn follow_lease(&mut self, lease: Option<&handle::LeaseSnapshot>, now: times::BootTime) {
        let Some(lease) = lease else {
            return;
        };
        let record = &lease.record;
        if self.record_nonce != Some(record.nonce) {
            self.record_nonce = Some(record.nonce);
            self.records_since_pause += 1;
        }
        let asked_at = if self.records_since_pause > 1 {
            now
        } else {
            times::BootTime::default()
        };
        self.tenure.observe(&record.roster.slots, asked_at, now);
        self.note_recorded(&record.roster, now);
        let slots = self.slots();
        self.split.resize(slots, now);
        if lease.held_until.is_none() {
            self.ledger = None;
            return;
        }
        if self
            .ledger
            .as_ref()
            .is_none_or(|(term, _)| *term != record.term)
        {
            let former = self.recorded_at.keys().cloned().collect();
            let ledger = shares::ShareLedger::new(self.terms, record.term, now, slots, former);
            self.ledger = Some((record.term, ledger));
        }
        if let Some((_term, ledger)) = &mut self.ledger {
            ledger.record_nodes(record.roster.slots.values().cloned().collect());
        }
    }

    /// Remembers who may still have work under a share.
    fn note_recorded(&mut self, roster: &leases::NodeRoster, now: times::BootTime) {
        for node in roster.slots.values() {
            self.recorded_at.insert(node.clone(), now);
        }
        let keep = self.terms.charge_time();
        self.recorded_at
            .retain(|_, recorded_at| now.since(*recorded_at) < keep);
    }

    /// Targets that vanished are kept as long as work there may go on.
    fn follow_targets(&mut self, now: times::BootTime) {
        if let Some(config) = self.handle.config() {
            for (key, target) in share_target::gather(&self.handle, &config.document) {
                let known = self.targets.entry(key);
                let known =
                    known.or_insert_with(|| known_target::KnownTarget::new(target.clone(), now));
                known.see(target, now);
            }
        }
        let keep = self.terms.charge_time();
        self.targets
            .retain(|_, known| now.since(known.seen_at) < keep);
    }

    /// Returns what this node would like to have beyond its fixed part.
    fn wanted(
        &self,
        now: times::BootTime,
    ) -> collections::BTreeMap<messages::ShareKey, sizes::RequestCount> {
        let running = self.handle.requests().in_flight();
        let wanted = |known: &known_target::KnownTarget| {
            let running = running_at(known, &running);
            let gone = known.seen_at != now;
            let headroom = if gone {
                0
            } else {
                LEAST_HEADROOM.max(running / 2)
            };
            let wanted = (running + headroom).saturating_sub(self.fixed(known, now));
            sizes::RequestCount::new(wanted)
        };
        let targets = self.targets.iter();
        targets.map(|(key, known)| (*key, wanted(known))).collect()
    }

    /// Makes the question once requests see the lowered shares.
    fn ask(&mut self, term: epochs::LeaseTerm, now: times::BootTime) -> Option<messages::ShareAsk> {
        if !self.is_in_force(now) {
            return None;
        }
        let wanted = self.lowered.take()?;
        let running = self.handle.requests().in_flight();
        let demand = |(key, wanted): (messages::ShareKey, sizes::RequestCount)| {
            let known = self.targets.get(&key)?;
            let running = running_at(known, &running).saturating_sub(self.fixed(known, now));
            let running = sizes::RequestCount::new(running);
            Some((key, shares::ShareDemand { running, wanted }))
        };
        let demand = wanted.into_iter().filter_map(demand).collect();
        Some(self.holding.ask(term, &demand, now))
    }

    /// Tells whether no request can be admitted under a higher share than those published now.
    fn is_in_force(&self, now: times::BootTime) -> bool {
        let shares = self.handle.shares();
        let table = self.handle.routes();
        let own = &self.handle.settings().data_centre;
        let targets = table.pools.values().flatten();
        now.since(self.round_at) >= PUBLISH_MARGIN / 2
            && targets
                .filter(|target| target.data_centre == *own)
                .all(|target| {
                    target.share <= shares.get(&target.target).copied().unwrap_or_default()
                })
    }

    fn publish(&mut self, now: times::BootTime) {
        let running = self.handle.requests().in_flight();
        let mut published = collections::BTreeMap::new();
        let keys = self.targets.keys().copied().collect::<Vec<_>>();
        for key in keys {
            let allowed = self.allowed(key, now);
            if let Some(known) = self.targets.get_mut(&key)
                && known.seen_at == now
            {
                known.greatest = allowed.max(sizes::RequestCount::new(running_at(known, &running)));
                published.insert(known.target.id.clone(), allowed);
            }
        }
        self.handle.requests().bound_targets(&published);
        if *self.handle.shares() != published {
            self.handle.publish_shares(published);
        }
    }

    /// Says which targets answer slower than those that can stand in for them.
    fn mark_slow(&self, now: times::BootTime) {
        let mut pools: collections::BTreeMap<_, collections::BTreeMap<_, _>> =
            collections::BTreeMap::new();
        for known in self.targets.values().filter(|known| known.seen_at == now) {
            let pool = pools.entry(&known.target.pool).or_default();
            pool.insert(known.target.id.clone(), known.ramp.pace());
        }
        let slow = pools.values().flat_map(warmth::SlowTargets::find);
        self.handle.requests().mark_slow(&slow.collect());
    }

    /// Returns what this node may have in flight at a target, by its own evidence of warmth.
    fn allowed(&self, key: messages::ShareKey, now: times::BootTime) -> sizes::RequestCount {
        let known = self.targets.get(&key).filter(|_| self.new_work);
        let Some(known) = known else {
            return sizes::RequestCount::default();
        };
        let (limit, _split) = known.split(now);
        let full = known.target.warm_limit;
        let later = now.after(PUBLISH_MARGIN);
        let lent = self.holding.bearable_share(key, limit, full, later);
        sizes::RequestCount::new(self.fixed(known, now).saturating_add(lent.get()))
    }

    fn fixed(&self, known: &known_target::KnownTarget, now: times::BootTime) -> u32 {
        let Some(slot) = self.tenure.slot(now) else {
            return 0;
        };
        let (_limit, split) = known.split(now);
        self.split
            .share(known.target.key, slot, split.fixed, now)
            .get()
    }

    fn limits(
        &self,
        now: times::BootTime,
    ) -> collections::BTreeMap<messages::ShareKey, sizes::RequestCount> {
        let targets = self.targets.iter();
        targets
            .map(|(key, known)| (*key, known.split(now).0))
            .collect()
    }

    /// Returns the number of slots that the configuration gives the data centre.
    fn slots(&self) -> u32 {
        let config: Option<sync::Arc<handle::ConfigSnapshot>> = self.handle.config();
        let own = &self.handle.settings().data_centre;
        let section = config
            .as_ref()
            .and_then(|config| config.document.data_centres.get(own));
        section.map_or(1, |section| section.entry_slots.get().max(1))
    }
}

/// Returns what this node has in flight; the most that it may have where nobody counts it now.
fn running_at(known: &known_target::KnownTarget, running: &RunningMap) -> u32 {
    let key = (known.target.id.clone(), known.target.generation);
    running.get(&key).copied().unwrap_or(known.greatest).get()
}
