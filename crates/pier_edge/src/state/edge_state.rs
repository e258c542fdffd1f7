//! The shared state of a node.

use std::{
    collections, net,
    sync::{self, atomic},
    time,
};

use pier_fleet::{documents, reach, targets};
use pier_types::{epochs, ids, times};
use tokio::sync::Notify;

use crate::{crashes, links, peers, serving, settings, state, telemetry};

/// How long a node reaches no target before it gives up its duties as a steward.
const ISOLATION_DELAY: time::Duration = time::Duration::from_millis(500);

/// A handle to the state that the parts of a node share; cloning it is cheap.
#[derive(Debug)]
pub(crate) struct EdgeState<P> {
    pub(super) shared: sync::Arc<SharedState<P>>,
}

impl<P> Clone for EdgeState<P> {
    fn clone(&self) -> Self {
        Self {
            shared: sync::Arc::clone(&self.shared),
        }
    }
}

#[derive(Debug)]
pub(super) struct SharedState<P> {
    settings: settings::EdgeSettings,
    node: ids::NodeName,
    platform: P,
    document: arc_swap::ArcSwapOption<documents::FleetDocument>,
    table: arc_swap::ArcSwap<state::ServingTable>,
    out_of_service: arc_swap::ArcSwap<collections::BTreeSet<ids::DataCentreName>>,
    registry: sync::Mutex<targets::TargetRegistry>,
    slots: sync::Mutex<collections::BTreeMap<state::SlotKey, sync::Arc<state::TargetSlot>>>,
    peers: sync::Mutex<peers::PeerTable>,
    notices: peers::NoticeOutbox,
    pauses: state::PauseTable,
    centre_links: state::CentreLinks,
    pub(super) limits: state::LimitTable,
    forwards: state::ForwardTable,
    retries: state::RetryBudget,
    reach: sync::Mutex<reach::ReachTracker>,
    crashes: crashes::CrashLedger,
    streams: state::StreamRecords,
    answers: serving::AnswerRoom,
    bodies: pier_bodies::BodyRoom,
    metrics: telemetry::EdgeMetrics,
    start_up: state::StartUp,
    draining: atomic::AtomicBool,
    has_served: atomic::AtomicBool,
    local_retiring: sync::Mutex<collections::BTreeSet<ids::VmName>>,
    registry_changed: Notify,
    store_outages: state::StoreOutages,
    pub(super) relay_log: sync::Mutex<peers::RelayLog>,
    pub(super) follower: sync::Mutex<peers::RelayFollower>,
    loads: sync::Mutex<peers::LoadExchange>,
    load_tag: u32,
    pub(super) store_answered_at: atomic::AtomicU64,
    pub(super) relay_changed: Notify,
    pub(super) relay_gap: Notify,
    pub(super) era: state::era_clock::EraClock,
    forming: atomic::AtomicBool,
    beat_number: atomic::AtomicU64,
}

impl<P: links::FleetPlatform> EdgeState<P> {
    pub(crate) fn new(settings: settings::EdgeSettings, node: ids::NodeName, platform: P) -> Self {
        let metrics = telemetry::EdgeMetrics::default();
        let shared = SharedState {
            answers: serving::AnswerRoom::new(settings.answers, metrics.answers().clone()),
            bodies: pier_bodies::BodyRoom::new(settings.bodies),
            retries: state::RetryBudget::new(settings.bounds),
            notices: peers::NoticeOutbox::default(),
            pauses: state::PauseTable::default(),
            centre_links: state::CentreLinks::default(),
            limits: state::LimitTable::default(),
            reach: sync::Mutex::default(),
            forwards: state::ForwardTable::default(),
            crashes: crashes::CrashLedger::default(),
            streams: state::StreamRecords::default(),
            peers: sync::Mutex::new(peers::PeerTable::new(
                node.clone(),
                settings.peers,
                settings.cores,
            )),
            settings,
            node,
            platform,
            document: arc_swap::ArcSwapOption::empty(),
            table: arc_swap::ArcSwap::default(),
            out_of_service: arc_swap::ArcSwap::default(),
            registry: sync::Mutex::default(),
            slots: sync::Mutex::default(),
            metrics,
            start_up: state::StartUp::default(),
            draining: atomic::AtomicBool::new(false),
            has_served: atomic::AtomicBool::new(false),
            local_retiring: sync::Mutex::default(),
            registry_changed: Notify::new(),
            store_outages: state::StoreOutages::default(),
            relay_log: sync::Mutex::default(),
            follower: sync::Mutex::default(),
            loads: sync::Mutex::default(),
            load_tag: rand::random(),
            store_answered_at: atomic::AtomicU64::new(0),
            relay_changed: Notify::new(),
            relay_gap: Notify::new(),
            era: state::era_clock::EraClock::default(),
            forming: atomic::AtomicBool::new(false),
            beat_number: atomic::AtomicU64::new(0),
        };
        Self {
            shared: sync::Arc::new(shared),
        }
    }

    pub(crate) fn settings(&self) -> &settings::EdgeSettings {
        &self.shared.settings
    }

    /// Returns this node's name, which is unique to the current start of the process.
    pub(crate) fn node(&self) -> &ids::NodeName {
        &self.shared.node
    }

    pub(crate) fn platform(&self) -> &P {
        &self.shared.platform
    }

    pub(crate) fn metrics(&self) -> &telemetry::EdgeMetrics {
        &self.shared.metrics
    }

    pub(crate) fn retries(&self) -> &state::RetryBudget {
        &self.shared.retries
    }

    pub(crate) fn answers(&self) -> &serving::AnswerRoom {
        &self.shared.answers
    }

    pub(crate) fn bodies(&self) -> &pier_bodies::BodyRoom {
        &self.shared.bodies
    }

    pub(crate) fn crashes(&self) -> &crashes::CrashLedger {
        &self.shared.crashes
    }

    pub(crate) fn streams(&self) -> &state::StreamRecords {
        &self.shared.streams
    }

    pub(crate) fn document(&self) -> Option<sync::Arc<documents::FleetDocument>> {
        self.shared.document.load_full()
    }

    /// Applies a document unless the current one is as new or newer; returns whether it did.
    pub(crate) fn set_document(&self, document: sync::Arc<documents::FleetDocument>) -> bool {
        let known = self.shared.document.load_full();
        if known.is_some_and(|known| known.version() >= document.version()) {
            return false;
        }
        self.shared.document.store(Some(document));
        true
    }

    pub(crate) fn table(&self) -> sync::Arc<state::ServingTable> {
        self.shared.table.load_full()
    }

    pub(crate) fn out_of_service(&self) -> sync::Arc<collections::BTreeSet<ids::DataCentreName>> {
        self.shared.out_of_service.load_full()
    }

    pub(crate) fn set_out_of_service(
        &self,
        out_of_service: collections::BTreeSet<ids::DataCentreName>,
    ) {
        self.shared
            .out_of_service
            .store(sync::Arc::new(out_of_service));
    }

    pub(crate) fn with_registry<T>(
        &self,
        change: impl FnOnce(&mut targets::TargetRegistry) -> T,
    ) -> T {
        change(&mut state::target_slot::lock(&self.shared.registry))
    }

    pub(crate) fn with_peers<T>(&self, change: impl FnOnce(&mut peers::PeerTable) -> T) -> T {
        change(&mut state::target_slot::lock(&self.shared.peers))
    }

    /// Returns every slot, including those that take no new requests.
    pub(crate) fn slots(&self) -> Vec<sync::Arc<state::TargetSlot>> {
        let slots = state::target_slot::lock(&self.shared.slots);
        slots.values().cloned().collect()
    }

    /// Marks a VM incarnation as leaving after one of its answers said so, and notifies the other
    /// nodes.
    pub(crate) fn record_leaving(
        &self,
        vm: &ids::VmName,
        born: epochs::VmIncarnation,
        now: times::BootTime,
    ) {
        if self.merge_leaving(vm, born, now) {
            self.metrics().count_leaving();
            log::info!(event = "target-states-leaving", target_vm:% = vm, born:% = born; "");
            self.shared.notices.add(peers::LeavingTarget {
                vm: vm.clone(),
                born,
            });
        }
    }

    /// Marks a VM incarnation as leaving; returns whether that is new.
    pub(crate) fn merge_leaving(
        &self,
        vm: &ids::VmName,
        born: epochs::VmIncarnation,
        now: times::BootTime,
    ) -> bool {
        let is_new = self.with_registry(|registry| registry.record_notice(vm, born, now));
        if is_new {
            let slots = state::target_slot::lock(&self.shared.slots);
            let found = slots
                .values()
                .filter(|slot| slot.vm == *vm && slot.born == born);
            found.for_each(|slot| slot.set_leaving());
            drop(slots);
            self.rebuild(now);
            self.notify_registry_change();
        }
        is_new
    }

    /// Records that a VM incarnation asked this node for a pause.
    pub(crate) fn record_pause(
        &self,
        vm: &ids::VmName,
        born: epochs::VmIncarnation,
        pause: time::Duration,
        now: times::BootTime,
    ) {
        let end = self
            .shared
            .pauses
            .record(vm, born, pause, rand::random(), now);
        self.metrics().count_pause();
        log::info!(
            event = "target-pauses",
            target_vm:% = vm,
            born:% = born,
            pause_ms = u64::try_from(end.since(now).as_millis()).unwrap_or(u64::MAX);
            ""
        );
        for slot in self.slots() {
            if slot.vm == *vm && slot.born == born {
                slot.set_pause(end);
            }
        }
    }

    /// Returns the end of the last pause of a VM incarnation; the boot time if it had none.
    pub(crate) fn pause_end(
        &self,
        vm: &ids::VmName,
        born: epochs::VmIncarnation,
    ) -> times::BootTime {
        self.shared.pauses.end(vm, born)
    }

    /// Records that a target of a service answered or accepted a connection.
    pub(crate) fn record_reached(&self, service: &ids::ServiceName, now: times::BootTime) {
        let mut tracker = state::target_slot::lock(&self.shared.reach);
        if tracker.record_success(service, now) {
            log::info!(event = "service-reached-again", service:% = service; "");
        }
    }

    /// Records that a target of a service could not be reached.
    pub(crate) fn record_unreached(
        &self,
        service: &ids::ServiceName,
        vm: &ids::VmName,
        now: times::BootTime,
    ) {
        let table = self.table();
        let targets = table
            .services
            .get(service)
            .map_or(0, state::ServicePool::count);
        let mut tracker = state::target_slot::lock(&self.shared.reach);
        if tracker.record_failure(service, vm, targets, now) {
            self.metrics().count_cut_off();
            log::warn!(
                event = "service-cut-off",
                service:% = service,
                target_vm:% = vm,
                targets = targets;
                ""
            );
        }
    }

    /// Returns whether this node reaches no target of a service.
    pub(crate) fn is_cut_off(&self, service: &ids::ServiceName) -> bool {
        state::target_slot::lock(&self.shared.reach).is_cut_off(service)
    }

    /// Returns the services of which this node reaches no target.
    pub(crate) fn cut_off_services(&self) -> Vec<ids::ServiceName> {
        state::target_slot::lock(&self.shared.reach).cut_off_services()
    }

    /// Returns whether this node has reached no target of any service for a while, so that it
    /// cannot act as a steward.
    pub(crate) fn is_isolated(&self, now: times::BootTime) -> bool {
        let table = self.table();
        let tracker = state::target_slot::lock(&self.shared.reach);
        tracker.is_isolated(table.services.keys(), ISOLATION_DELAY, now)
    }

    pub(crate) fn forwards(&self) -> &state::ForwardTable {
        &self.shared.forwards
    }

    /// Returns the services of which this node reaches targets.
    pub(crate) fn reached_services(&self) -> Vec<ids::ServiceName> {
        let Some(document) = self.document() else {
            return Vec::new();
        };
        let tracker = state::target_slot::lock(&self.shared.reach);
        let services = document.services().keys();
        let reached = services.filter(|service| !tracker.is_cut_off(service));
        reached.cloned().collect()
    }

    /// Returns the nodes to which requests for a service can be passed on, those of this data centre
    /// first.
    pub(crate) fn forward_slots(
        &self,
        service: &ids::ServiceName,
        now: times::BootTime,
    ) -> Vec<sync::Arc<state::TargetSlot>> {
        let settings = self.settings();
        let forwarders =
            self.with_peers(|peers| peers.forwarders(service, &settings.data_centre, now));
        let slots = forwarders
            .iter()
            .filter_map(|forwarder| self.forwards().slot(forwarder, settings.peers.ip()));
        slots.collect()
    }

    /// Updates which nodes are alive for the requests that were passed on to them.
    pub(crate) fn update_forwards(&self, now: times::BootTime) {
        let (live, known) = self.with_peers(|peers| (peers.live_names(now), peers.names()));
        self.metrics().set_live_nodes(live.len());
        self.forwards().update(&live, &known);
    }

    /// Returns the notices that are to be sent to other nodes.
    pub(crate) fn notices(&self) -> &peers::NoticeOutbox {
        &self.shared.notices
    }

    pub(crate) fn set_local_retiring(&self, retiring: collections::BTreeSet<ids::VmName>) {
        *state::target_slot::lock(&self.shared.local_retiring) = retiring;
    }

    pub(crate) fn local_retiring(&self) -> collections::BTreeSet<ids::VmName> {
        state::target_slot::lock(&self.shared.local_retiring).clone()
    }

    /// Returns whether this node is forming a group, as the steward of a data centre.
    pub(crate) fn is_forming(&self) -> bool {
        self.shared.forming.load(atomic::Ordering::Relaxed)
    }

    /// Returns the number of the last heartbeat sent.
    pub(crate) fn beat_number(&self) -> u64 {
        self.shared.beat_number.load(atomic::Ordering::Relaxed)
    }

    /// Returns the number of the next heartbeat to send.
    pub(crate) fn next_beat_number(&self) -> u64 {
        let last = &self.shared.beat_number;
        last.fetch_add(1, atomic::Ordering::Relaxed) + 1
    }

    pub(crate) fn set_forming(&self, is_forming: bool) {
        self.shared
            .forming
            .store(is_forming, atomic::Ordering::Relaxed);
    }

    /// Wakes the tasks that wait for changes of registrations or stewards.
    pub(crate) fn notify_registry_change(&self) {
        self.shared.registry_changed.notify_waiters();
    }

    pub(crate) async fn wait_for_registry_change(&self) {
        self.shared.registry_changed.notified().await;
    }

    pub(crate) fn store_outages(&self) -> &state::StoreOutages {
        &self.shared.store_outages
    }

    pub(crate) fn with_loads<T>(&self, change: impl FnOnce(&mut peers::LoadExchange) -> T) -> T {
        change(&mut state::target_slot::lock(&self.shared.loads))
    }

    /// Returns the random tag that marks the load reports of this start.
    pub(crate) fn load_tag(&self) -> u32 {
        self.shared.load_tag
    }

    /// Returns the mean age of the other nodes' loads as known here.
    pub(crate) fn view_age(&self) -> time::Duration {
        let is_alone = self.with_peers(|peers| peers.count()) == 0;
        if is_alone {
            time::Duration::ZERO
        } else {
            peers::VIEW_AGE
        }
    }

    /// Returns the first members that take no new requests because a steward is retiring their
    /// groups: by this node's own plans, other nodes' heartbeats and the newest digest.
    pub(crate) fn retiring(&self, now: times::BootTime) -> collections::BTreeSet<ids::VmName> {
        let mut retiring = self.with_peers(|peers| peers.retiring(now));
        retiring.extend(self.local_retiring());
        retiring.extend(self.with_loads(|loads| loads.retiring(now)));
        retiring
    }

    /// Rebuilds the table of targets.
    pub(crate) fn rebuild(&self, now: times::BootTime) {
        let Some(document) = self.document() else {
            return;
        };
        let nodes = self.with_peers(|peers| peers.sharing_nodes(now));
        let retiring = self.retiring(now);
        let out_of_service = self.out_of_service();
        self.with_registry(|registry| {
            registry.expire(now);
            let builder = state::table_builder::TableBuilder {
                settings: self.settings(),
                document: &document,
                registry,
                out_of_service: &out_of_service,
                retiring: &retiring,
                pauses: &self.shared.pauses,
                centre_links: &self.shared.centre_links,
                limits: &self.shared.limits,
                nodes,
                now,
            };
            let table = builder.build(&mut state::target_slot::lock(&self.shared.slots));
            // Within the lock, so that no table replaces one of a newer registry.
            self.shared.table.store(sync::Arc::new(table));
        });
    }

    /// Returns what this node has read since it started.
    pub(crate) fn start_up(&self) -> &state::StartUp {
        &self.shared.start_up
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.shared.draining.load(atomic::Ordering::Relaxed)
    }

    pub(crate) fn start_drain(&self) {
        self.shared.draining.store(true, atomic::Ordering::Relaxed);
    }

    pub(crate) fn is_ready(&self) -> bool {
        let start_up = self.start_up();
        start_up.is_listed()
            && start_up.has_read_nodes()
            && self.shared.document.load().is_some()
            && !self.is_draining()
    }

    pub(crate) fn mark_served(&self) {
        self.shared
            .has_served
            .store(true, atomic::Ordering::Relaxed);
    }

    pub(crate) fn has_served(&self) -> bool {
        self.shared.has_served.load(atomic::Ordering::Relaxed)
    }

    /// Returns the guard of a caller's own request.
    pub(crate) fn begin_request(&self) -> ProgressGuard<P> {
        ProgressGuard {
            state: self.clone(),
            from: None,
        }
    }

    /// Counts a request that another node passed on until the guard is dropped; `None` if too many
    /// of its requests are in progress.
    pub(crate) fn begin_forwarded(&self, from: net::IpAddr) -> Option<ProgressGuard<P>> {
        let is_counted = self.forwards().begin_received(from);
        is_counted.then(|| {
            let mut guard = self.begin_request();
            guard.from = Some(from);
            guard
        })
    }
}

/// Keeps a request counted among those that its node passes on.
#[derive(Debug)]
pub(crate) struct ProgressGuard<P> {
    state: EdgeState<P>,
    /// IP address of the node that passed the request on.
    from: Option<net::IpAddr>,
}

impl<P> Drop for ProgressGuard<P> {
    fn drop(&mut self) {
        if let Some(from) = self.from {
            self.state.shared.forwards.end_received(from);
        }
    }
}
