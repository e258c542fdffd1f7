//! The HTTP routes of an engine.

use std::{sync, time};

use pier_types::times::clocks;
use serde_json::json;

use crate::{engine, fault, serve};

/// The state and routes of an engine.
#[derive(Debug)]
pub(crate) struct EngineApp {
    /// The simulated engine.
    pub simulator: sync::Mutex<engine::EngineSimulator>,
    /// Record, faults and proxy.
    pub core: serve::FakeCore,
    /// A weak reference to this app, for the tasks that it starts.
    pub weak_self: sync::Weak<EngineApp>,
}

impl EngineApp {
    /// Creates the app of an engine.
    pub(crate) fn new(
        simulator: engine::EngineSimulator,
        core: serve::FakeCore,
    ) -> sync::Arc<Self> {
        sync::Arc::new_cyclic(|weak_self| Self {
            simulator: sync::Mutex::new(simulator),
            core,
            weak_self: sync::Weak::clone(weak_self),
        })
    }

    fn report(&self) -> serve::FakeReply {
        let mut report = serve::lock(&self.simulator).report(clocks::boot_now());
        report.is_leaving = self.core.is_leaving();
        serve::FakeReply::json(200, &json!(report))
    }
}

impl serve::FakeApp for EngineApp {
    fn core(&self) -> &serve::FakeCore {
        &self.core
    }

    fn is_recorded(&self, request: &serve::FakeRequest) -> bool {
        !matches!(request.path.as_str(), "report" | "cache-events")
    }

    async fn answer(&self, request: serve::FakeRequest) -> serve::FakeReply {
        let (method, path) = request.route();
        match (method, path.as_slice()) {
            ("GET", ["report"]) => self.report(),
            ("GET", ["cache-events"]) => self.cache_events(&request),
            ("GET", ["kv", prefix]) => self.export_prefix(prefix),
            ("PUT", ["kv", prefix]) => self.import_prefix(prefix),
            ("POST", ["orders"]) => self.order(&request),
            ("POST", ["attempts", attempt, "cancel"]) => self.cancel(&request, attempt),
            ("POST", ["v1", "chat", "completions"]) => self.complete(&request, true).await,
            ("POST", ["v1", "completions"]) => self.complete(&request, false).await,
            _ => serve::FakeReply::status(404),
        }
    }

    fn apply_fault(&self, kind: &fault::FaultKind) {
        let mut simulator = serve::lock(&self.simulator);
        let duration = |ms| time::Duration::from_millis(ms);
        match *kind {
            fault::FaultKind::Restart { .. } => simulator.restart(clocks::boot_now()),
            fault::FaultKind::Cold => simulator.make_cold(),
            fault::FaultKind::TokenTime { ms } => simulator.settings.token_time = duration(ms),
            fault::FaultKind::ReportLag { ms } => simulator.settings.report_lag = duration(ms),
            fault::FaultKind::CacheGap { events } => simulator.cache.lose_events(events),
            _ => {}
        }
    }
}
