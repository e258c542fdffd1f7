//! The handle to the state that all parts of a node share.

use std::fmt;
use std::sync::{self, atomic};

use pier_platform::{lists, objects};
use pier_types::{ids, times};
use pier_wire::seals;

use crate::{handle, requests, settings, telemetry};

/// Shared state of one node; a clone is cheap and refers to the same state.
///
/// Everything that requests read is replaced as a whole by read-copy-update, so that no request
/// waits for a control loop.
#[derive(Clone)]
pub struct NodeHandle {
    shared: sync::Arc<NodeShared>,
}

struct NodeShared {
    name: ids::NodeName,
    settings: settings::NodeSettings,
    bodies: pier_bodies::BodyRoom,
    max_descriptors: u64,
    instance: seals::NodeInstance,
    client: reqwest::Client,
    objects: objects::ObjectClient,
    lists: lists::VmListClient,
    requests: requests::RequestState,
    metrics: telemetry::NodeMetrics,
    traces: telemetry::TraceSink,
    draining: atomic::AtomicBool,
    in_progress: sync::Arc<atomic::AtomicUsize>,
    unwritten: sync::Arc<atomic::AtomicUsize>,
    platform_contact_at: atomic::AtomicU64,
    isolated: atomic::AtomicBool,
    views: handle::NodeViews,
}

impl fmt::Debug for NodeHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("NodeHandle")
            .field("name", &self.shared.name)
            .finish_non_exhaustive()
    }
}

impl NodeHandle {
    /// Creates the handle of a node that has not started yet.
    ///
    /// # Errors
    ///
    /// Fails when an HTTP client cannot be created.
    pub fn new(
        name: ids::NodeName,
        settings: settings::NodeSettings,
        client: reqwest::Client,
        traces: telemetry::TraceSink,
    ) -> anyhow::Result<Self> {
        let machine = settings::MachineSize::load();
        let bounds = settings.limits.body_bounds(machine);
        let shared = NodeShared {
            name,
            bodies: pier_bodies::BodyRoom::new(bounds),
            max_descriptors: settings.limits.max_descriptors(machine),
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
            unwritten: sync::Arc::default(),
            platform_contact_at: atomic::AtomicU64::new(0),
            isolated: atomic::AtomicBool::new(false),
            views: handle::NodeViews::default(),
        };
        Ok(Self {
            shared: sync::Arc::new(shared),
        })
    }

    /// Returns the state that the parts of the node publish to each other.
    pub(super) fn views(&self) -> &handle::NodeViews {
        &self.shared.views
    }

    /// Returns the instance, which differs at every start of the node.
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

    /// Returns the node's name, generated anew at each start.
    pub fn name(&self) -> &ids::NodeName {
        &self.shared.name
    }

    /// Returns the settings.
    pub fn settings(&self) -> &settings::NodeSettings {
        &self.shared.settings
    }

    /// Returns the memory that the bodies of requests share.
    pub fn bodies(&self) -> &pier_bodies::BodyRoom {
        &self.shared.bodies
    }

    /// Returns the open descriptors from which on no connection of a caller is accepted.
    pub fn max_descriptors(&self) -> u64 {
        self.shared.max_descriptors
    }

    /// Returns the HTTP client for targets.
    pub fn client(&self) -> &reqwest::Client {
        &self.shared.client
    }

    /// Returns the shared state that requests read.
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
    /// Fails when a metric cannot be written as text.
    pub fn metrics_text(&self) -> Result<String, fmt::Error> {
        let quarantined = self.requests().quarantined_count();
        self.metrics()
            .record_load(self.requests_in_progress(), quarantined);
        self.metrics().bodies().set_held(self.bodies().total());
        self.metrics().encode()
    }

    /// Returns the sink for trace spans.
    pub fn traces(&self) -> &telemetry::TraceSink {
        &self.shared.traces
    }

    /// Records that the platform answered a call that was sent at the given time.
    pub fn record_platform_contact(&self, asked_at: times::BootTime) {
        let micros = asked_at.as_micros();
        self.shared
            .platform_contact_at
            .fetch_max(micros, atomic::Ordering::Relaxed);
    }

    /// Returns when the most recent call that the platform answered was sent.
    pub fn platform_contact_at(&self) -> Option<times::BootTime> {
        let micros = self
            .shared
            .platform_contact_at
            .load(atomic::Ordering::Relaxed);
        (micros > 0).then_some(times::BootTime::from_micros(micros))
    }

    /// Sets whether this node is cut off; it then reports itself as not ready to the load balancer.
    pub fn set_isolated(&self, isolated: bool) {
        let order = atomic::Ordering::SeqCst;
        self.shared.isolated.store(isolated, order);
    }

    /// Counts a request as in progress until the guard is dropped.
    pub fn begin_request(&self) -> handle::RequestGuard {
        handle::RequestGuard::new(sync::Arc::clone(&self.shared.in_progress))
    }

    /// Returns how many requests are in progress.
    pub fn requests_in_progress(&self) -> usize {
        self.shared.in_progress.load(atomic::Ordering::SeqCst)
    }

    /// Counts an answer as not given to its connection until the guard is dropped.
    pub(crate) fn begin_answer(&self) -> handle::RequestGuard {
        handle::RequestGuard::new(sync::Arc::clone(&self.shared.unwritten))
    }

    /// Returns how many answers are not completely given to their connections.
    pub(crate) fn unwritten_answers(&self) -> usize {
        self.shared.unwritten.load(atomic::Ordering::SeqCst)
    }

    /// Starts the drain: the node reports itself as not ready to the load balancer.
    pub fn start_drain(&self) {
        self.shared.draining.store(true, atomic::Ordering::SeqCst);
    }

    /// Returns whether the node is draining before it stops.
    pub fn is_draining(&self) -> bool {
        self.shared.draining.load(atomic::Ordering::SeqCst)
    }

    /// Returns whether the load balancer may send callers to this node.
    pub fn is_ready(&self) -> bool {
        let isolated = self.shared.isolated.load(atomic::Ordering::SeqCst);
        !isolated
            && !self.is_draining()
            && self.config().is_some()
            && !self.routes().pools.is_empty()
    }
}
