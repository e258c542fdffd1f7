//! Shares the limits of the data centre's targets with the other nodes.

use std::time;

use pier_limits::shares;
use pier_types::{epochs, ids, sizes, times};
use pier_wire::messages;

use crate::{
    handle,
    peers::{share_target, slot_watch, target_book},
    requests,
};

/// A published share ends this long before it does, as requests see it a little later.
const PUBLISH_MARGIN: time::Duration = time::Duration::from_millis(500);

/// Time in which requests that saw a higher share have been counted as in flight.
const LOWERING_TIME: time::Duration = time::Duration::from_millis(250);

/// Time between two looks for slow targets.
const MARK_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Owns this node's part of each limit and, with the lease, the account of all parts.
#[derive(Debug)]
pub(super) struct ShareDriver {
    handle: handle::NodeHandle,
    terms: shares::SharePolicy,
    slots: slot_watch::SlotWatch,
    targets: target_book::TargetBook,
    holding: shares::ShareHolding,
    schedule: shares::AskSchedule,
    ledger: Option<(epochs::LeaseTerm, shares::ShareLedger)>,
    /// When an answer or a pause last may have lowered shares.
    lowered_at: times::BootTime,
    /// When slow targets were last looked for.
    marked_at: times::BootTime,
    new_work: bool,
}

impl ShareDriver {
    /// Makes a driver that has a part of nothing.
    pub(super) fn new(handle: handle::NodeHandle) -> Self {
        let terms = shares::SharePolicy::default();
        Self {
            terms,
            slots: slot_watch::SlotWatch::new(handle.name().clone(), terms),
            targets: target_book::TargetBook::new(terms),
            holding: shares::ShareHolding::new(terms),
            schedule: shares::AskSchedule::default(),
            ledger: None,
            lowered_at: times::BootTime::default(),
            marked_at: times::BootTime::default(),
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
        if self.slots.tick(now) {
            self.holding.drop_all();
            self.lowered_at = now;
        }
        let lease = self.handle.lease();
        self.follow_lease(lease.as_deref(), now);
        if let Some(config) = self.handle.config() {
            let found = share_target::gather(&self.handle, &config.document);
            self.targets.follow(found, now);
        }
        self.publish(now);
        self.mark_slow(now);
        let record = &lease?.record;
        let ask = self.ask(record.term, now)?;
        if record.holder != *self.handle.name() {
            return Some((record.holder.clone(), ask));
        }
        let own = self.handle.name().clone();
        if let Some(grant) = self.answer(&own, &ask, now) {
            self.take(&grant, now);
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
        let limits = self.targets.limits(now);
        let (_term, ledger) = self.ledger.as_mut()?;
        ledger.set_limits(&limits, now);
        ledger.answer(node, ask, now, lease_end)
    }

    /// Takes in what a request saw of a target; a limit that falls binds requests at once.
    pub(super) fn hear(&mut self, news: &requests::WarmthEvidence, now: times::BootTime) {
        let later = now.after(PUBLISH_MARGIN);
        let slot = self.slots.slot(now);
        let cut = self.targets.hear(news, &self.holding, slot, later, now);
        let Some(allowed) = cut.filter(|_| self.new_work) else {
            return;
        };
        log::warn!(
            event = "target-cold-again",
            target:% = news.target,
            sign:? = news.signal,
            share = allowed.get();
            ""
        );
        let bounds = target_book::AllowedMap::from([(news.target.clone(), allowed)]);
        self.handle.requests().limit_targets(&bounds);
    }

    /// Takes in the lease holder's answer.
    pub(super) fn take(&mut self, grant: &messages::ShareGrant, now: times::BootTime) {
        self.holding.apply_grant(grant);
        self.lowered_at = now;
    }

    /// Follows the record's slots and opens an account when this node gains the lease.
    fn follow_lease(&mut self, lease: Option<&handle::LeaseSnapshot>, now: times::BootTime) {
        let Some(lease) = lease else {
            return;
        };
        let record = &lease.record;
        self.slots.observe(record, now);
        let slots = self.slot_count();
        self.targets.resize(slots, now);
        if lease.held_until.is_none() {
            self.ledger = None;
            return;
        }
        if self
            .ledger
            .as_ref()
            .is_none_or(|(term, _)| *term != record.term)
        {
            let former = self.slots.former_nodes();
            let ledger = shares::ShareLedger::new(self.terms, record.term, now, slots, former);
            self.ledger = Some((record.term, ledger));
        }
        if let Some((_term, ledger)) = &mut self.ledger {
            ledger.record_nodes(record.roster.slots.values().cloned().collect());
        }
    }

    /// Makes a question if one is due and requests see the shares that it will name.
    fn ask(&mut self, term: epochs::LeaseTerm, now: times::BootTime) -> Option<messages::ShareAsk> {
        if !self.is_in_force(now) {
            return None;
        }
        let running = self.handle.requests().in_flight();
        let demand = self.targets.demand(self.slots.slot(now), &running, now);
        if !self.schedule.is_due(term, &demand, &self.holding, now) {
            return None;
        }
        self.schedule.record_ask(term, &demand, now);
        Some(self.holding.ask(term, &demand, now))
    }

    /// Tells whether no request can be admitted under a higher share than those published now.
    fn is_in_force(&self, now: times::BootTime) -> bool {
        let shares = self.handle.shares();
        let table = self.handle.routes();
        let own = &self.handle.settings().data_centre;
        let targets = table.pools.values().flatten();
        now.since(self.lowered_at) >= LOWERING_TIME
            && targets
                .filter(|target| target.data_centre == *own)
                .all(|target| {
                    target.share <= shares.get(&target.target).copied().unwrap_or_default()
                })
    }

    fn publish(&mut self, now: times::BootTime) {
        let running = self.handle.requests().in_flight();
        let slot = self.slots.slot(now);
        let later = now.after(PUBLISH_MARGIN);
        let mut published = self
            .targets
            .allow(&self.holding, slot, &running, later, now);
        if !self.new_work {
            for share in published.values_mut() {
                *share = sizes::RequestCount::default();
            }
        }
        self.handle.requests().limit_targets(&published);
        if *self.handle.shares() != published {
            self.handle.publish_shares(published);
        }
    }

    /// Says which targets are slow, now and then.
    fn mark_slow(&mut self, now: times::BootTime) {
        if now.since(self.marked_at) < MARK_PERIOD {
            return;
        }
        self.marked_at = now;
        let slow = self.targets.slow_targets(now);
        self.handle.requests().mark_slow(&slow);
    }

    /// Returns the number of slots that the configuration gives the data centre.
    fn slot_count(&self) -> u32 {
        let config = self.handle.config();
        let own = &self.handle.settings().data_centre;
        let section = config
            .as_ref()
            .and_then(|config| config.document.data_centres.get(own));
        section.map_or(1, |section| section.entry_slots.get().max(1))
    }
}
