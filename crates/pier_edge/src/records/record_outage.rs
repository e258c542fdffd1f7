//! What a loop does while the store is away, and as it comes back.

use std::time;

use pier_fleet::stewards;
use pier_types::times;
use tokio::sync::watch;

use super::{
    record_loop::{self, RecordLoop},
    record_source,
};
use crate::links;

/// Failures that last at least this long count as an outage of the store.
const MIN_OUTAGE_TIME: time::Duration = time::Duration::from_secs(1);

/// Head start of the probe over the other loops when a node can no longer follow its steward: enough
/// for one call, and little of the time that is kept for reading.
const PROBE_LEAD: time::Duration = time::Duration::from_millis(250);

impl<P: links::FleetPlatform> RecordLoop<P> {
    pub(super) fn record_success(&mut self, now: times::BootTime) {
        let store_age = self.state.store_age(now);
        self.state.record_store_answer(now);
        if self.is_probe() {
            self.state.store_outages().set_probe_failing(false);
        }
        if !self.backoff.reset() {
            return;
        }
        let Some(since) = self.failing_since.take() else {
            return;
        };
        let away = now.since(since);
        self.state.store_outages().record_return(since, now);
        log::info!(
            event = "store-back",
            kind = self.kind.label(),
            away_ms = record_loop::millis(away),
            store_age_ms = record_loop::millis(store_age);
            ""
        );
        if away >= MIN_OUTAGE_TIME {
            self.applier.record_store_return(self.kind, now);
        }
    }

    /// Resets the failures once this loop relies on the steward, which reports the end of an outage.
    pub(super) fn end_failures(&mut self) {
        if self.backoff.reset() {
            self.failing_since = None;
            self.state.store_outages().record_steward();
        }
    }

    /// Records a failed call that was to be answered from `due_at` on, and waits until the next one is
    /// due.
    pub(super) async fn record_failure(
        &mut self,
        error: &links::StoreError,
        due_at: times::BootTime,
    ) {
        let returns = self.state.store_outages().watch_returns();
        let now = times::clocks::boot_now();
        self.state.metrics().count_store_failure(self.kind.label());
        if self.failing_since.is_none() {
            self.failing_since = Some(due_at.min(now));
            log::warn!(
                event = "store-away",
                kind = self.kind.label(),
                overdue_ms = record_loop::millis(now.since(due_at)),
                store_age_ms = record_loop::millis(self.state.store_age(now)),
                cause:% = error;
                ""
            );
        }
        let is_probe = self.is_probe();
        if is_probe {
            self.state.store_outages().set_probe_failing(true);
        }
        let facts = stewards::OutageFacts {
            failures: self.backoff.record_failure(),
            role: self.state.reader_role(now),
            is_probe,
            is_probe_failing: self.state.store_outages().is_probe_failing(),
        };
        self.pause(stewards::outage_step(facts, rand::random()), returns)
            .await;
    }

    /// Waits as a step says, at most until this loop can rely on the steward.
    async fn pause(
        &self,
        step: stewards::OutageStep,
        mut returns: watch::Receiver<time::Duration>,
    ) {
        let is_listed = self.followed_version(None).is_some();
        let can_follow = record_source::wait_for_steward(&self.state, self.kind, is_listed);
        match step {
            stewards::OutageStep::Retry(delay) => tokio::select! {
                () = can_follow => {}
                () = tokio::time::sleep(delay) => {}
            },
            stewards::OutageStep::AwaitReturn(limit) => tokio::select! {
                _returned = returns.changed() => {}
                () = can_follow => {}
                () = self.wait_until_probe() => {}
                () = tokio::time::sleep(limit) => {}
            },
        }
    }

    /// Waits until this loop is the one that keeps calling the store, as its node has become a steward
    /// or is one no longer.
    async fn wait_until_probe(&self) {
        while !self.is_probe() {
            tokio::time::sleep(record_source::FOLLOW_INTERVAL).await;
        }
    }

    /// Lets the probe call the store first, as this node can no longer follow its steward; returns
    /// whether the store was away for the probe, and this loop has waited instead of calling.
    pub(super) async fn leaves_call_to_probe(&self, now: times::BootTime) -> bool {
        if self.is_probe() || self.state.is_first_reader(now) {
            return false;
        }
        let returns = self.state.store_outages().watch_returns();
        tokio::time::sleep(PROBE_LEAD).await;
        let is_away = self.state.store_outages().is_probe_failing();
        if is_away {
            let step = stewards::OutageStep::AwaitReturn(stewards::MAX_OUTAGE_WAIT);
            self.pause(step, returns).await;
        }
        is_away
    }

    /// Returns whether this loop keeps calling the store in an outage: the one for the registrations
    /// at a steward, on whose relay messages others depend, and the one for the document elsewhere.
    fn is_probe(&self) -> bool {
        let is_steward = self.state.with_peers(|peers| peers.is_steward());
        self.kind
            == if is_steward {
                links::RecordKind::Targets
            } else {
                links::RecordKind::Document
            }
    }
}

/// Waits until another loop finds that the store answers again after an outage, which may have
/// silenced a call that began before.
pub(super) async fn wait_for_end(mut returns: watch::Receiver<time::Duration>) {
    while returns.changed().await.is_ok() {
        if *returns.borrow_and_update() >= MIN_OUTAGE_TIME {
            return;
        }
    }
    std::future::pending::<()>().await;
}
