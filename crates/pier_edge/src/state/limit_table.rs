//! Request rates that targets state for all nodes together.

use std::{collections, sync, time};

use pier_fleet::budgets;
use pier_types::{epochs, ids, rates, times};

use crate::{links, peers, state};

/// Most targets whose rates are kept.
const MAX_LIMITS: usize = 4_096;

/// The rate of one start of a VM, whatever group it serves.
pub(crate) type SharedLimit = sync::Arc<sync::Mutex<budgets::TargetLimit>>;

type LimitKey = (ids::VmName, epochs::VmIncarnation);

/// Keeps the rates by VM incarnation.
#[derive(Debug, Default)]
pub(crate) struct LimitTable {
    limits: sync::Mutex<collections::BTreeMap<LimitKey, SharedLimit>>,
}

impl LimitTable {
    /// Returns the rate of a VM incarnation.
    pub(crate) fn limit(&self, vm: &ids::VmName, born: epochs::VmIncarnation) -> SharedLimit {
        let mut limits = state::lock(&self.limits);
        let limit = limits.entry((vm.clone(), born)).or_default();
        sync::Arc::clone(limit)
    }

    /// Returns the rate of a VM incarnation from another node's notice; `None` if too many are kept.
    fn noticed_limit(&self, vm: &ids::VmName, born: epochs::VmIncarnation) -> Option<SharedLimit> {
        let mut limits = state::lock(&self.limits);
        let key = (vm.clone(), born);
        if !limits.contains_key(&key) && limits.len() >= MAX_LIMITS {
            return None;
        }
        Some(sync::Arc::clone(limits.entry(key).or_default()))
    }

    /// Drops the rates that have ended, of targets which this node no longer knows.
    pub(crate) fn expire(&self, now: times::BootTime) {
        state::lock(&self.limits).retain(|_key, limit| {
            sync::Arc::strong_count(limit) > 1 || state::lock(limit).rate(now).is_some()
        });
    }

    fn active(&self, now: times::BootTime) -> Vec<(LimitKey, SharedLimit)> {
        let limits = state::lock(&self.limits);
        let active = limits
            .iter()
            .filter(|(_key, limit)| state::lock(limit).rate(now).is_some());
        let active = active.map(|(key, limit)| (key.clone(), sync::Arc::clone(limit)));
        active.collect()
    }
}

impl<P: links::FleetPlatform> state::EdgeState<P> {
    pub(crate) fn limits(&self) -> &LimitTable {
        &self.shared.limits
    }

    /// Applies the rate in a target's answer, and sends a notice of it to the other nodes.
    ///
    /// An answer without a rate ends a known one only if its request was sent after the rate was
    /// stated, as answers may overtake each other.
    pub(crate) fn record_limit(
        &self,
        slot: &state::TargetSlot,
        answer: &links::AnswerHead,
        sent_at: times::BootTime,
        now: times::BootTime,
    ) {
        let rate = match answer.limit {
            links::LimitStatement::Unlimited => None,
            links::LimitStatement::Rate(rate) => Some(rate),
            links::LimitStatement::Unreadable => return,
        };
        if !answer.names_attempt {
            return;
        }
        let stated = budgets::StatedRate {
            rate,
            stated_at: now,
        };
        let mut limit = state::lock(&slot.limit);
        let known_at = limit.stated_at().filter(|_at| limit.rate(now).is_some());
        if rate.is_none() && known_at.is_none_or(|known_at| sent_at <= known_at) {
            return;
        }
        let is_new = limit.record(stated, now);
        if is_new || limit.is_repeat_due(now) {
            limit.note_told(now);
            let notice = peers::StatedLimit {
                vm: slot.vm.clone(),
                born: slot.born,
                stated,
            };
            self.notices().add_limit(notice, is_new);
        }
        drop(limit);
        if is_new {
            self.limit_changed(&slot.vm, slot.born, rate, "answer", now);
        }
    }

    /// Applies a rate from another node's notice.
    pub(crate) fn merge_limit(&self, notice: &peers::LimitNotice, now: times::BootTime) {
        let age = time::Duration::from_millis(u64::from(notice.age_ms));
        let stated = budgets::StatedRate {
            rate: notice.rate,
            stated_at: now.before(age),
        };
        let Some(limit) = self.limits().noticed_limit(&notice.vm, notice.born) else {
            log::warn!(event = "limit-not-kept", target_vm:% = notice.vm; "");
            return;
        };
        let mut limit = state::lock(&limit);
        let is_new = limit.record(stated, now);
        limit.note_told(now);
        drop(limit);
        if is_new {
            self.limit_changed(&notice.vm, notice.born, notice.rate, "node", now);
        }
    }

    fn limit_changed(
        &self,
        vm: &ids::VmName,
        born: epochs::VmIncarnation,
        rate: Option<rates::RequestMilliRate>,
        source: &str,
        now: times::BootTime,
    ) {
        let limit = self.limits().limit(vm, born);
        let share = self.limit_share(vm, born, rate.unwrap_or_default(), now);
        state::lock(&limit).set_share(share, now);
        log::info!(
            event = "target-states-limit",
            target_vm:% = vm,
            born:% = born,
            milli_rate:? = rate.map(rates::RequestMilliRate::get),
            share = share,
            source = source;
            ""
        );
    }

    /// Divides the known rates among the nodes that are alive now.
    pub(crate) fn update_limit_shares(&self, now: times::BootTime) {
        let active = self.limits().active(now);
        self.metrics().set_limited_targets(active.len());
        for ((vm, born), limit) in active {
            let rate = state::lock(&limit).rate(now).unwrap_or_default();
            let share = self.limit_share(&vm, born, rate, now);
            state::lock(&limit).set_share(share, now);
        }
    }

    fn limit_share(
        &self,
        vm: &ids::VmName,
        born: epochs::VmIncarnation,
        rate: rates::RequestMilliRate,
        now: times::BootTime,
    ) -> f64 {
        let data_centre = self.with_registry(|registry| {
            let record = registry.records().get(vm)?;
            Some(record.entry.data_centre.clone())
        });
        let own = &self.settings().data_centre;
        let nodes = self.with_peers(|peers| peers.rate_sharers(own, now));
        let candidates: Vec<_> = nodes
            .iter()
            .map(|(node, centre)| budgets::RateCandidate {
                node,
                is_local: Some(centre) == data_centre.as_ref(),
            })
            .collect();
        budgets::share_rate(vm, born, rate, self.node(), &candidates)
    }
}
