//! The crashes that this node knows and the requests that they hold back.

use std::{
    collections,
    sync::{self, Arc},
    time,
};

use arc_swap::ArcSwap;
use pier_fleet::targets;
use pier_request::{prompt_parts, quarantine};
use pier_types::{epochs, ids, times};
use tokio::sync::Notify;

use crate::{crashes, state};

/// How long a lost target may turn out to have crashed: it shows when the VM registers again as a
/// new incarnation.
const OPEN_LOSS_LIFETIME: time::Duration = time::Duration::from_secs(5);

/// Most lost targets that wait for that; further ones replace the oldest.
const MAX_OPEN_LOSSES: usize = 1_024;

/// A target that a request lost.
#[derive(Debug, Clone)]
pub(crate) struct RequestLoss {
    pub fingerprint: ids::RequestFingerprint,
    /// Parts of the prompt that other requests may share.
    pub parts: Vec<ids::PromptPart>,
    pub lost: crashes::LostTarget,
    /// Number of requests that ran on the target.
    pub suspects: u32,
}

#[derive(Debug)]
struct OpenLoss {
    loss: RequestLoss,
    lost_at: times::BootTime,
}

/// Collects crashes of this node and of others, and publishes the requests that they hold back.
#[derive(Debug, Default)]
pub(crate) struct CrashLedger {
    history: sync::Mutex<quarantine::CrashHistory>,
    open_losses: sync::Mutex<collections::VecDeque<OpenLoss>>,
    published: ArcSwap<quarantine::QuarantineSet>,
    parts: sync::Mutex<prompt_parts::PartHistory>,
    published_parts: ArcSwap<prompt_parts::PartQuarantine>,
    unstored: sync::Mutex<collections::BTreeSet<ids::RequestFingerprint>>,
    record: sync::Mutex<(epochs::ObjectVersion, crashes::CrashRecord)>,
    recorded: Notify,
    to_store: Notify,
}

impl CrashLedger {
    /// Returns how long a request with these shared parts of its prompt is held back; `None` when it
    /// may run.
    pub(crate) fn held_for(
        &self,
        fingerprint: ids::RequestFingerprint,
        parts: &[ids::PromptPart],
        now: times::BootTime,
    ) -> Option<time::Duration> {
        let by_request = self.published.load().remaining(fingerprint, now);
        let by_part = self.published_parts.load().remaining(parts, now);
        by_request.max(by_part)
    }

    /// Returns how many requests are held back.
    pub(crate) fn held_count(&self) -> usize {
        self.published.load().len()
    }

    /// Returns how many sets of prompt parts are held back.
    pub(crate) fn held_part_count(&self) -> usize {
        self.published_parts.load().held().count()
    }

    /// Records that a request lost its target; without a cause, the target may still turn out to
    /// have crashed.
    pub(crate) fn record_loss(
        &self,
        loss: RequestLoss,
        cause: Option<quarantine::LossCause>,
        now: times::BootTime,
    ) {
        match cause {
            Some(quarantine::LossCause::Ordered) => {}
            Some(cause @ quarantine::LossCause::ProcessLost) => {
                self.record_crash(&loss, cause, now);
            }
            None | Some(quarantine::LossCause::Unreachable) => {
                let mut open_losses = state::lock(&self.open_losses);
                if open_losses.len() >= MAX_OPEN_LOSSES {
                    open_losses.pop_front();
                }
                open_losses.push_back(OpenLoss { loss, lost_at: now });
            }
        }
    }

    /// Records the crashes of lost targets that have registered as new incarnations.
    pub(crate) fn confirm_losses(&self, registry: &targets::TargetRegistry, now: times::BootTime) {
        let mut crashed = Vec::new();
        state::lock(&self.open_losses).retain(|open| {
            if now.since(open.lost_at) >= OPEN_LOSS_LIFETIME {
                return false;
            }
            let cause = crashes::registered_cause(registry, &open.loss.lost, open.lost_at, now);
            if cause == Some(quarantine::LossCause::ProcessLost) {
                crashed.push(open.loss.clone());
            }
            cause.is_none()
        });
        for loss in crashed {
            self.record_crash(&loss, quarantine::LossCause::ProcessLost, now);
        }
    }

    /// Clears a request that completed, if it is implicated in a crash.
    pub(crate) fn record_completion(
        &self,
        fingerprint: ids::RequestFingerprint,
        now: times::BootTime,
    ) {
        if !self.published.load().is_implicated(fingerprint) {
            return;
        }
        log::info!(event = "request-cleared", fingerprint:% = fingerprint; "");
        self.update(now, |history| {
            history.record_completion(fingerprint);
            true
        });
        self.notify(fingerprint);
    }

    /// Records that a request with these shared parts of its prompt completed, so that they crash no
    /// target.
    pub(crate) fn record_sound_parts(&self, parts: &[ids::PromptPart], now: times::BootTime) {
        if self.update_parts(now, |history| history.record_completion(parts, now)) {
            self.recorded.notify_one();
            self.to_store.notify_one();
        }
    }

    /// Merges the marks of parts that another node recorded.
    pub(crate) fn merge_parts(&self, delta: &prompt_parts::PartDelta, now: times::BootTime) {
        self.update_parts(now, |history| history.merge(delta, now));
    }

    /// Returns at most `limit` marks of parts for a datagram; new ones first.
    pub(crate) fn part_delta(&self, now: times::BootTime, limit: usize) -> prompt_parts::PartDelta {
        state::lock(&self.parts).delta(now, limit)
    }

    /// Returns all marks of parts.
    pub(crate) fn part_marks(&self, now: times::BootTime) -> Vec<prompt_parts::PartMark> {
        state::lock(&self.parts).marks(now)
    }

    /// Merges crashes that another node recorded.
    pub(crate) fn merge(&self, delta: &quarantine::CrashDelta, now: times::BootTime) {
        self.update(now, |history| history.merge(delta, now));
    }

    /// Returns the last known record of the store and its version.
    pub(crate) fn record(&self) -> (epochs::ObjectVersion, crashes::CrashRecord) {
        state::lock(&self.record).clone()
    }

    /// Sets the record that this node has written.
    pub(crate) fn set_record(&self, version: epochs::ObjectVersion, record: crashes::CrashRecord) {
        *state::lock(&self.record) = (version, record);
    }

    /// Merges a record of the store unless a newer one is known; `wall_now` is the time of day. See
    /// [`CrashLedger::adopt_record`] for `should_forward`.
    pub(crate) fn apply_record(
        &self,
        version: epochs::ObjectVersion,
        record: crashes::CrashRecord,
        now: times::BootTime,
        wall_now: times::WallTime,
        should_forward: bool,
    ) {
        let (known, _record) = self.record();
        if known < version {
            self.adopt_record(version, record, now, wall_now, should_forward);
        }
    }

    /// Merges the record that the store holds, whatever version is known. If `should_forward`, the marks
    /// that are new here are sent to other nodes.
    pub(crate) fn adopt_record(
        &self,
        version: epochs::ObjectVersion,
        record: crashes::CrashRecord,
        now: times::BootTime,
        wall_now: times::WallTime,
        should_forward: bool,
    ) {
        let delta = record.to_delta(wall_now);
        let part_delta = record.to_part_delta(wall_now);
        self.set_record(version, record);
        if should_forward {
            self.update_parts(now, |history| history.merge_and_forward(&part_delta, now));
            self.update(now, |history| history.merge_and_forward(&delta, now));
            self.recorded.notify_one();
        } else {
            self.merge_parts(&part_delta, now);
            self.merge(&delta, now);
        }
    }

    /// Returns at most `limit` marks for a datagram; new ones first.
    pub(crate) fn delta(&self, now: times::BootTime, limit: usize) -> quarantine::CrashDelta {
        state::lock(&self.history).delta(now, limit)
    }

    /// Returns whether marks are still to be sent to all nodes.
    pub(crate) fn has_new_marks(&self) -> bool {
        state::lock(&self.history).has_new_marks() || state::lock(&self.parts).has_new_marks()
    }

    /// Waits until there are marks to send to all nodes.
    pub(crate) async fn wait_for_marks(&self) {
        self.recorded.notified().await;
    }

    /// Waits until there are marks to write to the store.
    pub(crate) async fn wait_for_unstored(&self) {
        self.to_store.notified().await;
    }

    /// Takes the requests of this node's own marks that the store may lack.
    pub(crate) fn take_unstored(&self) -> collections::BTreeSet<ids::RequestFingerprint> {
        std::mem::take(&mut *state::lock(&self.unstored))
    }

    /// Adds requests again whose marks could not be stored.
    pub(crate) fn add_unstored(&self, unstored: collections::BTreeSet<ids::RequestFingerprint>) {
        state::lock(&self.unstored).extend(unstored);
    }

    /// Has all marks written again, after the store came back from a copy that may lack them.
    pub(crate) fn write_again(&self) {
        self.set_record(
            epochs::ObjectVersion::default(),
            crashes::CrashRecord::default(),
        );
        let implicated = self.published.load().implicated();
        state::lock(&self.unstored).extend(implicated);
        self.to_store.notify_one();
    }

    /// Returns all marks.
    pub(crate) fn marks(&self, now: times::BootTime) -> Vec<quarantine::CrashMark> {
        state::lock(&self.history).marks(now)
    }

    /// Removes expired marks and publishes what is left.
    pub(crate) fn expire(&self, now: times::BootTime) {
        self.update_parts(now, |history| {
            history.expire(now);
            !history.is_empty()
        });
        if !state::lock(&self.history).is_empty() {
            self.update(now, |history| {
                history.expire(now);
                true
            });
        }
    }

    fn record_crash(&self, loss: &RequestLoss, cause: quarantine::LossCause, now: times::BootTime) {
        let target = ids::TargetId::Vm(loss.lost.vm.clone());
        let generation = start_generation(loss.lost.born);
        self.update_parts(now, |history| {
            history.record_crash(&target, generation, loss.fingerprint, &loss.parts, now)
        });
        self.update(now, |history| {
            let in_flight = [loss.fingerprint];
            history.record_loss(&target, generation, cause, &in_flight, loss.suspects, now);
            true
        });
        self.notify(loss.fingerprint);
    }

    fn notify(&self, fingerprint: ids::RequestFingerprint) {
        state::lock(&self.unstored).insert(fingerprint);
        self.recorded.notify_one();
        self.to_store.notify_one();
    }

    /// Changes the history of parts, and publishes the parts that it holds if `change` returns that
    /// they may differ; returns what `change` did.
    fn update_parts(
        &self,
        now: times::BootTime,
        change: impl FnOnce(&mut prompt_parts::PartHistory) -> bool,
    ) -> bool {
        let mut history = state::lock(&self.parts);
        if !change(&mut history) {
            return false;
        }
        let set = history.snapshot(now);
        let former = self.published_parts.swap(Arc::new(set.clone()));
        drop(history);
        for (parts, until) in set.held() {
            let was_held = former.held().any(|(held, _until)| held == parts);
            if !was_held && now < until {
                let names: Vec<_> = parts.iter().map(ToString::to_string).collect();
                log::warn!(
                    event = "prompt-part-held-back",
                    prompt_parts:% = names.join(","),
                    held_ms = u64::try_from(until.since(now).as_millis()).unwrap_or(u64::MAX),
                    crashes = set.crashes().len();
                    ""
                );
            }
        }
        for (parts, until) in former.held() {
            if now < until && !set.held().any(|(held, _until)| held == parts) {
                let names: Vec<_> = parts.iter().map(ToString::to_string).collect();
                log::info!(event = "prompt-part-released", prompt_parts:% = names.join(","); "");
            }
        }
        if former.crashes() != set.crashes() {
            // Requests that ran beside the part are not to blame for these crashes.
            self.update(now, |_history| true);
        }
        true
    }

    /// Changes the history, and publishes the requests that it holds back if `change` returns that
    /// they may differ.
    fn update(
        &self,
        now: times::BootTime,
        change: impl FnOnce(&mut quarantine::CrashHistory) -> bool,
    ) {
        let mut history = state::lock(&self.history);
        if !change(&mut history) {
            return;
        }
        let parts = self.published_parts.load();
        let set = history.snapshot_without(parts.crashes(), now);
        let former = self.published.swap(Arc::new(set.clone()));
        for (fingerprint, until) in set.held() {
            if former.remaining(fingerprint, now).is_none() && now < until {
                let targets = history.crashed_targets(fingerprint, now);
                let names: Vec<_> = targets.iter().map(ToString::to_string).collect();
                log::warn!(
                    event = "request-held-back",
                    fingerprint:% = fingerprint,
                    held_ms = u64::try_from(until.since(now).as_millis()).unwrap_or(u64::MAX),
                    crashes = names.len(),
                    targets:% = names.join(",");
                    ""
                );
            }
        }
    }
}

/// Returns the generation under which a crash of a VM is recorded: its incarnation, so that each of
/// its starts can crash once.
const fn start_generation(born: epochs::VmIncarnation) -> epochs::GroupGeneration {
    epochs::GroupGeneration::new(born.get())
}
