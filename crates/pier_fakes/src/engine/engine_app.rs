//! What an engine answers.

use std::{sync, time};

use pier_types::times::clocks;
use serde_json::json;

use crate::{engine, fault, serve};

/// An engine's state and routes.
#[derive(Debug)]
pub(crate) struct EngineApp {
    /// What it holds and runs.
    pub model: sync::Mutex<engine::EngineModel>,
    /// Record, faults and gate.
    pub core: serve::FakeCore,
    /// The same app, for the tasks that it starts.
    pub this: sync::Weak<EngineApp>,
}

impl EngineApp {
    /// Makes the app of an engine.
    pub(crate) fn new(model: engine::EngineModel, core: serve::FakeCore) -> sync::Arc<Self> {
        sync::Arc::new_cyclic(|this| Self {
            model: sync::Mutex::new(model),
            core,
            this: sync::Weak::clone(this),
        })
    }

    fn report(&self) -> serve::FakeReply {
        let mut report = serve::lock(&self.model).report(clocks::boot_now());
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

    fn strike(&self, kind: &fault::FaultKind) {
        let mut model = serve::lock(&self.model);
        let duration = |ms| time::Duration::from_millis(ms);
        match *kind {
            fault::FaultKind::Restart { .. } => model.restart(clocks::boot_now()),
            fault::FaultKind::Cold => model.chill(),
            fault::FaultKind::TokenTime { ms } => model.settings.token_time = duration(ms),
            fault::FaultKind::ReportLag { ms } => model.settings.report_lag = duration(ms),
            fault::FaultKind::CacheGap { events } => model.cache.lose_events(events),
            _ => {}
        }
    }
}
