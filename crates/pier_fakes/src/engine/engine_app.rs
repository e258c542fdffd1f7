//! What an engine answers.

use std::sync;

use pier_types::times::clocks;
use serde_json::json;

use crate::{engine, record, serve};

/// An engine's state and routes.
#[derive(Debug)]
pub(crate) struct EngineApp {
    /// What it holds and runs.
    pub model: sync::Mutex<engine::EngineModel>,
    /// Every call but reports.
    pub record: record::RunRecord,
    /// The same app, for the tasks that it starts.
    pub this: sync::Weak<EngineApp>,
}

impl EngineApp {
    /// Makes the app of an engine.
    pub(crate) fn new(model: engine::EngineModel) -> sync::Arc<Self> {
        sync::Arc::new_cyclic(|this| Self {
            model: sync::Mutex::new(model),
            record: record::RunRecord::default(),
            this: sync::Weak::clone(this),
        })
    }

    fn report(&self) -> serve::FakeReply {
        let report = serve::lock(&self.model).report(clocks::boot_now());
        serve::FakeReply::json(200, &json!(report))
    }
}

impl serve::FakeApp for EngineApp {
    async fn answer(&self, request: serve::FakeRequest) -> serve::FakeReply {
        let (method, path) = request.route();
        match (method, path.as_slice()) {
            ("GET", ["control", "record"]) => {
                serve::FakeReply::json(200, &json!(self.record.entries()))
            }
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
}
