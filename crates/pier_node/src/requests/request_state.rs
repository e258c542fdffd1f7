//! Shared state that requests read.

use std::{collections, sync};

use arc_swap::ArcSwap;
use pier_config::documents;
use pier_request::{quarantine, retries, routing};
use pier_types::{epochs, ids, routes, sizes, times, times::clocks};
use tokio::sync::{Notify, mpsc};

use crate::requests;

/// Retries that the whole node may make per thousand new requests.
const NODE_RETRIES_PER_THOUSAND: u32 = 200;

/// Number of retries that the whole node may make in a burst.
const NODE_BURST_RETRIES: u32 = 100;

/// Number of crash events that are queued; further ones are dropped.
const MAX_QUEUED_CRASHES: usize = 1_024;

/// Number of warm-up evidence items that are queued; further ones are dropped.
const MAX_QUEUED_WARMTH: usize = 4_096;

/// State that requests read without a lock; the control loops replace each part as a whole.
#[derive(Debug)]
pub struct RequestState {
    targets: ArcSwap<requests::TargetView>,
    skipped_peers: ArcSwap<requests::SkippedPeers>,
    customers: ArcSwap<requests::CustomerTable>,
    prefixes: ArcSwap<routing::PrefixSnapshot>,
    quarantine: ArcSwap<quarantine::QuarantineSet>,
    leaving: requests::LeavingTargets,
    links: requests::TargetLinks,
    node_budget: retries::RetryBudget,
    one_time_client: reqwest::Client,
    crash_sender: mpsc::Sender<requests::CrashEvent>,
    // The mutexes are locked by control loops only, never by a request.
    crash_receiver: sync::Mutex<Option<mpsc::Receiver<requests::CrashEvent>>>,
    warmth_sender: mpsc::Sender<requests::WarmthEvidence>,
    warmth_receiver: sync::Mutex<Option<mpsc::Receiver<requests::WarmthEvidence>>>,
    crashes: sync::Mutex<quarantine::CrashHistory>,
    crash_recorded: Notify,
    counters: sync::Mutex<routing::CounterRegistry>,
}

impl RequestState {
    /// Creates the empty state of a node that has just started.
    ///
    /// # Errors
    ///
    /// Fails when an HTTP client cannot be created.
    pub fn new() -> anyhow::Result<Self> {
        let (crash_sender, crash_receiver) = mpsc::channel(MAX_QUEUED_CRASHES);
        let (warmth_sender, warmth_receiver) = mpsc::channel(MAX_QUEUED_WARMTH);
        Ok(Self {
            targets: ArcSwap::default(),
            skipped_peers: ArcSwap::default(),
            customers: ArcSwap::default(),
            prefixes: ArcSwap::default(),
            quarantine: ArcSwap::default(),
            leaving: requests::LeavingTargets::default(),
            links: requests::TargetLinks::default(),
            node_budget: retries::RetryBudget::new(NODE_RETRIES_PER_THOUSAND, NODE_BURST_RETRIES),
            one_time_client: requests::target_client::one_time()?,
            crash_sender,
            crash_receiver: sync::Mutex::new(Some(crash_receiver)),
            warmth_sender,
            warmth_receiver: sync::Mutex::new(Some(warmth_receiver)),
            crashes: sync::Mutex::default(),
            crash_recorded: Notify::new(),
            counters: sync::Mutex::default(),
        })
    }

    /// Publishes the targets that may receive new requests.
    pub fn publish_routes(&self, table: &routes::RouteTable, data_centre: &ids::DataCentreName) {
        let mut counters = lock(&self.counters);
        let view = self
            .targets
            .load()
            .view
            .replace(table, data_centre, &mut counters);
        let built_at = clocks::boot_now();
        self.targets
            .store(sync::Arc::new(requests::TargetView { view, built_at }));
    }

    /// Publishes the customers of a configuration document.
    pub fn publish_config(&self, document: &documents::ConfigDocument) {
        let table = self.customers.load().replace(document);
        self.customers.store(sync::Arc::new(table));
    }

    /// Publishes which targets have which prefix cached.
    pub fn publish_prefixes(&self, prefixes: routing::PrefixSnapshot) {
        self.prefixes.store(sync::Arc::new(prefixes));
    }

    /// Records that a target stated in an answer that it leaves.
    pub(super) fn record_leaving(&self, target: &requests::TargetKey, now: times::BootTime) {
        if self.leaving.record(target, now) {
            log::info!(
                event = "target-states-leaving",
                target_id:% = target.0,
                generation:% = target.1;
                ""
            );
        }
    }

    /// Returns the targets that stated in an answer that they leave, and when.
    pub fn leaving(
        &self,
    ) -> sync::Arc<collections::BTreeMap<requests::TargetKey, times::BootTime>> {
        self.leaving.targets()
    }

    /// Returns the links to targets that are in doubt.
    pub(super) const fn links(&self) -> &requests::TargetLinks {
        &self.links
    }

    /// Returns how many requests this node has in flight at each target of the current view.
    pub fn in_flight(
        &self,
    ) -> collections::BTreeMap<(ids::TargetId, epochs::GroupGeneration), sizes::RequestCount> {
        let targets = self.targets.load();
        let entries = targets.view.pools().flat_map(|(_key, pool)| pool.entries());
        let counts = entries.map(|entry| {
            let target = &entry.target;
            let key = (target.target.clone(), target.generation);
            (key, entry.counter.in_flight())
        });
        counts.collect()
    }

    /// Limits the in-flight requests of this node at targets, ahead of the next routing table.
    pub fn limit_targets(
        &self,
        limits: &collections::BTreeMap<ids::TargetId, sizes::RequestCount>,
    ) {
        let targets = self.targets.load();
        for (_key, pool) in targets.view.pools() {
            for entry in pool.entries() {
                if let Some(limit) = limits.get(&entry.target.target) {
                    entry.counter.set_ceiling(*limit);
                }
            }
        }
    }

    /// Marks the targets that are slower than others of their pool, and unmarks the rest.
    pub fn mark_slow(&self, slow: &collections::BTreeSet<ids::TargetId>) {
        let targets = self.targets.load();
        for (_key, pool) in targets.view.pools() {
            for entry in pool.entries() {
                entry.counter.set_slow(slow.contains(&entry.target.target));
            }
        }
    }

    /// Returns the receiver of warm-up evidence; `None` after the first call.
    pub fn take_warmth_receiver(&self) -> Option<mpsc::Receiver<requests::WarmthEvidence>> {
        lock(&self.warmth_receiver).take()
    }

    /// Queues warm-up evidence; drops it when the queue is full.
    pub(super) fn send_warmth(&self, evidence: requests::WarmthEvidence) {
        // The evidence that is queued already is enough.
        let _dropped = self.warmth_sender.try_send(evidence);
    }

    /// Returns how many request fingerprints are quarantined.
    pub fn quarantined_count(&self) -> usize {
        self.quarantine.load().len()
    }

    /// Returns how many prefixes are known to be cached somewhere.
    pub fn prefix_count(&self) -> usize {
        self.prefixes.load().len()
    }

    /// Returns at most `limit` crash marks to gossip to other nodes in one datagram.
    pub fn crash_delta(&self, limit: usize) -> quarantine::CrashDelta {
        lock(&self.crashes).delta(clocks::boot_now(), limit)
    }

    /// Returns whether crash marks of this node are still to be gossiped.
    pub fn has_new_crashes(&self) -> bool {
        lock(&self.crashes).has_new_marks()
    }

    /// Waits until this node records or clears a crash.
    pub async fn wait_for_crash(&self) {
        self.crash_recorded.notified().await;
    }

    /// Merges crashes reported by another node.
    pub fn merge_crashes(&self, delta: &quarantine::CrashDelta) {
        let now = clocks::boot_now();
        self.change_crashes(|history| {
            history.merge(delta, now);
        });
    }

    /// Updates the crash history by what this node saw, and publishes the quarantined requests.
    pub(super) fn update_crashes(&self, change: impl FnOnce(&mut quarantine::CrashHistory)) {
        self.change_crashes(change);
        if self.has_new_crashes() {
            self.crash_recorded.notify_one();
        }
    }

    fn change_crashes(&self, change: impl FnOnce(&mut quarantine::CrashHistory)) {
        let mut history = lock(&self.crashes);
        change(&mut history);
        let set = history.snapshot(clocks::boot_now());
        self.quarantine.store(sync::Arc::new(set));
    }

    /// Returns the receiver of crash events; `None` after the first call.
    pub(super) fn take_crash_receiver(&self) -> Option<mpsc::Receiver<requests::CrashEvent>> {
        lock(&self.crash_receiver).take()
    }

    /// Queues a crash event; drops and logs it when the queue is full.
    pub(super) fn send_crash(&self, event: requests::CrashEvent) {
        if let Err(error) = self.crash_sender.try_send(event) {
            log::warn!(event = "crash-news-dropped", cause:% = error; "");
        }
    }

    /// Returns the current view of the targets.
    pub(super) fn targets(&self) -> arc_swap::Guard<sync::Arc<requests::TargetView>> {
        self.targets.load()
    }

    /// Returns the nodes and data centres that recently refused forwarded requests.
    pub(super) fn skipped_peers(&self) -> arc_swap::Guard<sync::Arc<requests::SkippedPeers>> {
        self.skipped_peers.load()
    }

    /// Records that a node or a data centre cannot serve a pool until a given time.
    pub(super) fn skip_place(
        &self,
        pool: &routes::PoolKey,
        place: &requests::SkippedPlace,
        until: times::BootTime,
    ) {
        let now = clocks::boot_now();
        self.skipped_peers
            .rcu(|skipped| skipped.with(pool, place, until, now));
    }

    /// Returns the admission controllers and retry budgets.
    pub(super) fn customers(&self) -> arc_swap::Guard<sync::Arc<requests::CustomerTable>> {
        self.customers.load()
    }

    /// Returns which targets have which prefix cached.
    pub(super) fn prefixes(&self) -> arc_swap::Guard<sync::Arc<routing::PrefixSnapshot>> {
        self.prefixes.load()
    }

    /// Returns the quarantined requests.
    pub(super) fn quarantine(&self) -> arc_swap::Guard<sync::Arc<quarantine::QuarantineSet>> {
        self.quarantine.load()
    }

    /// Returns the retry budget of the node.
    pub(super) const fn node_budget(&self) -> &retries::RetryBudget {
        &self.node_budget
    }

    /// Returns the HTTP client for one-time requests.
    pub(super) const fn one_time_client(&self) -> &reqwest::Client {
        &self.one_time_client
    }
}

/// Locks a mutex, ignoring poisoning: a control loop that panicked leaves consistent values.
fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
