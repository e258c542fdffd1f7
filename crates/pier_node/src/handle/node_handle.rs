//! The handle that every part of a node shares.

use std::sync::{self, atomic};
use std::{collections, fmt};

use arc_swap::{ArcSwap, ArcSwapOption};
use pier_control::health;
use pier_platform::{lists, objects};
use pier_types::{epochs, ids, routes, sizes, times, vms};
use pier_wire::seals;

use crate::{handle, requests, settings, telemetry};

/// Shared state of one node; a clone is cheap and sees the same state.
///
/// What a request reads is published whole by read-copy-update, so that no request waits for a
/// control loop.
#[derive(Clone)]
pub struct NodeHandle {
    shared: sync::Arc<NodeShared>,
}

struct NodeShared {
    name: ids::NodeName,
    settings: settings::NodeSettings,
    instance: seals::NodeInstance,
    client: reqwest::Client,
    objects: objects::ObjectClient,
    lists: lists::VmListClient,
    requests: requests::RequestState,
    metrics: telemetry::NodeMetrics,
    traces: telemetry::TraceSink,
    draining: atomic::AtomicBool,
    in_progress: sync::Arc<atomic::AtomicUsize>,
    config: ArcSwapOption<handle::ConfigSnapshot>,
    refused: atomic::AtomicU64,
    routes: ArcSwap<routes::RouteTable>,
    vms: ArcSwap<collections::BTreeMap<ids::VmName, vms::VmEntry>>,
    evidence: ArcSwap<collections::BTreeMap<ids::VmName, health::VmEvidence>>,
    stragglers: ArcSwap<collections::BTreeSet<ids::VmName>>,
    groups: ArcSwap<handle::GroupSnapshot>,
    shift: ArcSwap<handle::ShiftSnapshot>,
    lease: ArcSwapOption<handle::LeaseSnapshot>,
    list: ArcSwapOption<handle::ListSnapshot>,
    peers: ArcSwap<Vec<handle::PeerEntry>>,
    shares: ArcSwap<collections::BTreeMap<ids::TargetId, sizes::RequestCount>>,
    platform_at: atomic::AtomicU64,
    kept_away: atomic::AtomicBool,
}

impl fmt::Debug for NodeHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("NodeHandle")
            .field("name", &self.shared.name)
            .finish_non_exhaustive()
    }
}

impl NodeHandle {
    /// Makes the handle of a node that has not started yet.
    ///
    /// # Errors
    ///
    /// Fails when a client of the platform can not be made.
    pub fn new(
        name: ids::NodeName,
        settings: settings::NodeSettings,
        client: reqwest::Client,
        traces: telemetry::TraceSink,
    ) -> anyhow::Result<Self> {
        let shared = NodeShared {
            name,
            instance: seals::NodeInstance::new(rand::random()),
            client,
            objects: objects::ObjectClient::new(&settings.platform_url)?,
            lists: lists::VmListClient::new(&settings.platform_url)?,
            settings,
            requests: requests::RequestState::new()?,
            metrics: telemetry::NodeMetrics::new(traces.counts()),
            traces,
            draining: atomic::AtomicBool::new(false),
            in_progress: sync::Arc::default(),
            config: ArcSwapOption::empty(),
            refused: atomic::AtomicU64::new(0),
            routes: ArcSwap::default(),
            vms: ArcSwap::default(),
            evidence: ArcSwap::default(),
            stragglers: ArcSwap::default(),
            groups: ArcSwap::default(),
            shift: ArcSwap::default(),
            lease: ArcSwapOption::empty(),
            list: ArcSwapOption::empty(),
            peers: ArcSwap::default(),
            shares: ArcSwap::default(),
            platform_at: atomic::AtomicU64::new(0),
            kept_away: atomic::AtomicBool::new(false),
        };
        Ok(Self {
            shared: sync::Arc::new(shared),
        })
    }

    /// Returns the instance that tells this start of the node from others.
    pub fn instance(&self) -> seals::NodeInstance {
        self.shared.instance
    }

    /// Returns the client of the platform's object API.
    pub fn objects(&self) -> &objects::ObjectClient {
        &self.shared.objects
    }

    /// Returns the client of the platform's VM list.
    pub fn lists(&self) -> &lists::VmListClient {
        &self.shared.lists
    }

    /// Returns the configuration in force; none until the first one was read.
    pub fn config(&self) -> Option<sync::Arc<handle::ConfigSnapshot>> {
        self.shared.config.load_full()
    }

    /// Publishes a configuration that came into force.
    pub fn publish_config(&self, snapshot: handle::ConfigSnapshot) {
        self.shared.requests.publish_config(&snapshot.document);
        self.shared.config.store(Some(sync::Arc::new(snapshot)));
    }

    /// Returns the version above the one in force that was refused, if any.
    pub fn refused_config(&self) -> Option<epochs::ConfigVersion> {
        let version = self.shared.refused.load(atomic::Ordering::Relaxed);
        (version > 0).then_some(epochs::ConfigVersion::new(version))
    }

    /// Publishes which version above the one in force was refused.
    pub fn publish_refused(&self, version: Option<epochs::ConfigVersion>) {
        let version = version.map_or(0, epochs::ConfigVersion::get);
        self.shared
            .refused
            .store(version, atomic::Ordering::Relaxed);
    }

    /// Returns the node's name, drawn anew at each start.
    pub fn name(&self) -> &ids::NodeName {
        &self.shared.name
    }

    /// Returns the settings.
    pub fn settings(&self) -> &settings::NodeSettings {
        &self.shared.settings
    }

    /// Returns the HTTP client towards targets.
    pub fn client(&self) -> &reqwest::Client {
        &self.shared.client
    }

    /// Returns what requests read of the system.
    pub fn requests(&self) -> &requests::RequestState {
        &self.shared.requests
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &telemetry::NodeMetrics {
        &self.shared.metrics
    }

    /// Returns every metric as `OpenMetrics` text.
    ///
    /// # Errors
    ///
    /// Fails when a metric can not be written as text.
    pub fn metrics_text(&self) -> Result<String, fmt::Error> {
        let quarantined = self.requests().quarantined_count();
        self.metrics()
            .record_load(self.requests_in_progress(), quarantined);
        self.metrics().encode()
    }

    /// Returns where trace spans go.
    pub fn traces(&self) -> &telemetry::TraceSink {
        &self.shared.traces
    }

    /// Returns the targets that may receive new work.
    pub fn routes(&self) -> arc_swap::Guard<sync::Arc<routes::RouteTable>> {
        self.shared.routes.load()
    }

    /// Publishes the targets that may receive new work.
    pub fn publish_routes(&self, table: routes::RouteTable) {
        let data_centre = &self.shared.settings.data_centre;
        self.shared.requests.publish_routes(&table, data_centre);
        self.shared.routes.store(sync::Arc::new(table));
    }

    /// Returns the VMs by the platform's lagging list.
    pub fn vms(&self) -> sync::Arc<collections::BTreeMap<ids::VmName, vms::VmEntry>> {
        self.shared.vms.load_full()
    }

    /// Publishes the VM list.
    pub fn publish_vms(&self, list: collections::BTreeMap<ids::VmName, vms::VmEntry>) {
        self.shared.vms.store(sync::Arc::new(list));
    }

    /// Returns the VM list with the reading that brought it, for other nodes.
    pub fn list_snapshot(&self) -> Option<sync::Arc<handle::ListSnapshot>> {
        self.shared.list.load_full()
    }

    /// Publishes the VM list with the reading that brought it.
    pub fn publish_list(&self, snapshot: handle::ListSnapshot) {
        self.shared.list.store(Some(sync::Arc::new(snapshot)));
    }

    /// Returns the newest evidence of each VM of this data centre.
    pub fn evidence(&self) -> sync::Arc<collections::BTreeMap<ids::VmName, health::VmEvidence>> {
        self.shared.evidence.load_full()
    }

    /// Publishes the evidence that the probes brought.
    pub fn publish_evidence(
        &self,
        evidence: collections::BTreeMap<ids::VmName, health::VmEvidence>,
    ) {
        self.shared.evidence.store(sync::Arc::new(evidence));
    }

    /// Returns the VMs of this data centre that answer far slower than the others.
    pub fn stragglers(&self) -> sync::Arc<collections::BTreeSet<ids::VmName>> {
        self.shared.stragglers.load_full()
    }

    /// Publishes the VMs that answer far slower than the others.
    pub fn publish_stragglers(&self, stragglers: collections::BTreeSet<ids::VmName>) {
        self.shared.stragglers.store(sync::Arc::new(stragglers));
    }

    /// Returns the groups of this data centre and their health.
    pub fn groups(&self) -> sync::Arc<handle::GroupSnapshot> {
        self.shared.groups.load_full()
    }

    /// Publishes the groups of this data centre and their health.
    pub fn publish_groups(&self, snapshot: handle::GroupSnapshot) {
        self.shared.groups.store(sync::Arc::new(snapshot));
    }

    /// Returns how much new work this data centre gets now.
    pub fn shift(&self) -> handle::ShiftSnapshot {
        **self.shared.shift.load()
    }

    /// Publishes how much new work this data centre gets now.
    pub fn publish_shift(&self, snapshot: handle::ShiftSnapshot) {
        self.shared.shift.store(sync::Arc::new(snapshot));
    }

    /// Returns the control lease of this data centre; none until it was read.
    pub fn lease(&self) -> Option<sync::Arc<handle::LeaseSnapshot>> {
        self.shared.lease.load_full()
    }

    /// Publishes the control lease of this data centre.
    pub fn publish_lease(&self, snapshot: handle::LeaseSnapshot) {
        self.shared.lease.store(Some(sync::Arc::new(snapshot)));
    }

    /// Returns the other nodes that are thought alive.
    pub fn peers(&self) -> sync::Arc<Vec<handle::PeerEntry>> {
        self.shared.peers.load_full()
    }

    /// Publishes the other nodes that are thought alive.
    pub fn publish_peers(&self, peers: Vec<handle::PeerEntry>) {
        self.shared.peers.store(sync::Arc::new(peers));
    }

    /// Returns how many requests this node may have in flight at each target.
    pub fn shares(&self) -> sync::Arc<collections::BTreeMap<ids::TargetId, sizes::RequestCount>> {
        self.shared.shares.load_full()
    }

    /// Publishes how many requests this node may have in flight at each target.
    pub fn publish_shares(
        &self,
        shares: collections::BTreeMap<ids::TargetId, sizes::RequestCount>,
    ) {
        self.shared.shares.store(sync::Arc::new(shares));
    }

    /// Notes that the platform answered a call that was sent at the given moment.
    pub fn note_platform(&self, asked_at: times::BootTime) {
        let micros = asked_at.as_micros();
        self.shared
            .platform_at
            .fetch_max(micros, atomic::Ordering::Relaxed);
    }

    /// Returns when the last call was sent that the platform answered.
    pub fn platform_at(&self) -> Option<times::BootTime> {
        let micros = self.shared.platform_at.load(atomic::Ordering::Relaxed);
        (micros > 0).then_some(times::BootTime::from_micros(micros))
    }

    /// Tells whether the balancer is to keep callers away, as this node is cut off.
    pub fn keep_callers_away(&self, kept_away: bool) {
        let order = atomic::Ordering::SeqCst;
        self.shared.kept_away.store(kept_away, order);
    }

    /// Counts a request as in progress until the guard is dropped.
    pub fn begin_request(&self) -> handle::RequestGuard {
        handle::RequestGuard::new(sync::Arc::clone(&self.shared.in_progress))
    }

    /// Returns how many requests are in progress.
    pub fn requests_in_progress(&self) -> usize {
        self.shared.in_progress.load(atomic::Ordering::SeqCst)
    }

    /// Starts the drain: the balancer is told to stay away.
    pub fn start_drain(&self) {
        self.shared.draining.store(true, atomic::Ordering::SeqCst);
    }

    /// Tells whether the node is about to stop.
    pub fn is_draining(&self) -> bool {
        self.shared.draining.load(atomic::Ordering::SeqCst)
    }

    /// Tells whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        let kept_away = self.shared.kept_away.load(atomic::Ordering::SeqCst);
        !kept_away
            && !self.is_draining()
            && self.config().is_some()
            && !self.routes().pools.is_empty()
    }
}
