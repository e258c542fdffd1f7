//! Shares the limits of the data centre's targets with the other nodes.

use std::time;

use pier_limits::shares;
use pier_types::{epochs, ids, sizes, times};
use pier_wire::messages;

use crate::{
    handle,
    peers::{share_target, slot_watch, target_limits},
    requests,
};

/// Grants that end within this time are not published, as requests read the published shares up to
/// this much later.
const PUBLISH_MARGIN: time::Duration = time::Duration::from_millis(500);

/// After a decrease of shares, the time until every request that was admitted under a higher share
/// is counted as in flight.
const LOWERING_TIME: time::Duration = time::Duration::from_millis(250);

/// Time between two updates of the slow targets.
const SLOW_MARK_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Holds this node's share of each limit and, while it holds the lease, the ledger of all shares.
#[derive(Debug)]
pub(super) struct ShareDriver {
    handle: handle::NodeHandle,
    policy: shares::SharePolicy,
    slots: slot_watch::SlotWatch,
    targets: target_limits::TargetLimits,
    holding: shares::ShareHolding,
    schedule: shares::AskSchedule,
    ledger: Option<(epochs::LeaseTerm, shares::ShareLedger)>,
    /// When a grant or a pause may last have lowered shares.
    lowered_at: times::BootTime,
    /// When the slow targets were last updated.
    slow_marked_at: times::BootTime,
    allows_new_work: bool,
}

impl ShareDriver {
    /// Creates a driver that holds no shares.
    pub(super) fn new(handle: handle::NodeHandle) -> Self {
        let policy = shares::SharePolicy::default();
        Self {
            policy,
            slots: slot_watch::SlotWatch::new(handle.name().clone(), policy),
            targets: target_limits::TargetLimits::new(policy),
            holding: shares::ShareHolding::new(policy),
            schedule: shares::AskSchedule::default(),
            ledger: None,
            lowered_at: times::BootTime::default(),
            slow_marked_at: times::BootTime::default(),
            allows_new_work: true,
            handle,
        }
    }

    /// Updates lease, targets and shares and publishes the shares; returns the request for shares to
    /// send to the lease holder, if one is due.
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
            self.targets.update(found, now);
        }
        self.publish(now);
        self.mark_slow(now);
        let record = &lease?.record;
        let ask = self.ask(record.term, now)?;
        if record.holder != *self.handle.name() {
            return Some((record.holder.clone(), ask));
        }
        let local = self.handle.name().clone();
        if let Some(grant) = self.answer(&local, &ask, now) {
            self.apply_grant(&grant, now);
        }
        None
    }

    /// Sets whether this node may accept new work; while it may not, all published shares are zero.
    pub(super) const fn allow_new_work(&mut self, allowed: bool) {
        self.allows_new_work = allowed;
    }

    /// Answers a node's request for shares if this node holds the lease.
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

    /// Records what a request observed of a target; a lowered limit applies to requests at once.
    pub(super) fn record_warmth(
        &mut self,
        evidence: &requests::WarmthEvidence,
        now: times::BootTime,
    ) {
        let granted_until = now.after(PUBLISH_MARGIN);
        let slot = self.slots.slot(now);
        let lowered = self
            .targets
            .record_warmth(evidence, &self.holding, slot, granted_until, now);
        let Some(allowed) = lowered.filter(|_| self.allows_new_work) else {
            return;
        };
        log::warn!(
            event = "target-cold-again",
            target:% = evidence.target,
            sign:? = evidence.signal,
            share = allowed.get();
            ""
        );
        let bounds = target_limits::AllowedMap::from([(evidence.target.clone(), allowed)]);
        self.handle.requests().limit_targets(&bounds);
    }

    /// Applies the lease holder's answer.
    pub(super) fn apply_grant(&mut self, grant: &messages::ShareGrant, now: times::BootTime) {
        self.holding.apply_grant(grant);
        self.lowered_at = now;
    }

    /// Follows the slots of the lease record and starts a ledger when this node gains the lease.
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
            let former_nodes = self.slots.former_nodes();
            let ledger =
                shares::ShareLedger::new(self.policy, record.term, now, slots, former_nodes);
            self.ledger = Some((record.term, ledger));
        }
        if let Some((_term, ledger)) = &mut self.ledger {
            ledger.record_nodes(record.roster.slots.values().cloned().collect());
        }
    }

    /// Returns a request for shares if one is due and requests already see the current shares.
    fn ask(&mut self, term: epochs::LeaseTerm, now: times::BootTime) -> Option<messages::ShareAsk> {
        if !self.shares_in_force(now) {
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

    /// Returns whether no request can be admitted under a higher share than those published now.
    fn shares_in_force(&self, now: times::BootTime) -> bool {
        let shares = self.handle.shares();
        let table = self.handle.routes();
        let local = &self.handle.settings().data_centre;
        let targets = table.pools.values().flatten();
        now.since(self.lowered_at) >= LOWERING_TIME
            && targets
                .filter(|target| target.data_centre == *local)
                .all(|target| {
                    target.share <= shares.get(&target.target).copied().unwrap_or_default()
                })
    }

    fn publish(&mut self, now: times::BootTime) {
        let running = self.handle.requests().in_flight();
        let slot = self.slots.slot(now);
        let granted_until = now.after(PUBLISH_MARGIN);
        let mut published = self
            .targets
            .allow(&self.holding, slot, &running, granted_until, now);
        if !self.allows_new_work {
            for share in published.values_mut() {
                *share = sizes::RequestCount::default();
            }
        }
        self.handle.requests().limit_targets(&published);
        if *self.handle.shares() != published {
            self.handle.publish_shares(published);
        }
    }

    /// Updates the set of slow targets once per [`SLOW_MARK_PERIOD`].
    fn mark_slow(&mut self, now: times::BootTime) {
        if now.since(self.slow_marked_at) < SLOW_MARK_PERIOD {
            return;
        }
        self.slow_marked_at = now;
        let slow = self.targets.slow_targets(now);
        self.handle.requests().mark_slow(&slow);
    }

    /// Returns the number of slots that the configuration sets for the data centre.
    fn slot_count(&self) -> u32 {
        let config = self.handle.config();
        let local = &self.handle.settings().data_centre;
        let section = config
            .as_ref()
            .and_then(|config| config.document.data_centres.get(local));
        section.map_or(1, |section| section.entry_slots.get().max(1))
    }
}
