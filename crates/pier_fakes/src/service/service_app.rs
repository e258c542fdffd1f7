//! The HTTP routes of a plain service.

use std::{sync::atomic, time};

use pier_types::{epochs, ids, reports, sizes};
use serde_json::json;

use crate::{fault, record, serve};

/// The state and routes of a plain service.
#[derive(Debug)]
pub(crate) struct ServiceApp {
    /// The VM that it runs on.
    pub vm: ids::VmName,
    /// The incarnation; increases with each restart.
    pub incarnation: atomic::AtomicU64,
    /// Time that each call takes.
    pub call_time: time::Duration,
    /// Number of receipts issued.
    pub receipts: atomic::AtomicU64,
    /// Number of running calls.
    pub running: atomic::AtomicU32,
    /// Record, faults and proxy.
    pub core: serve::FakeCore,
}

impl ServiceApp {
    fn report(&self) -> serve::FakeReply {
        let running = self.running.load(atomic::Ordering::SeqCst);
        let incarnation = self.incarnation.load(atomic::Ordering::SeqCst);
        let report = reports::EngineReport {
            vm: self.vm.clone(),
            incarnation: epochs::VmIncarnation::new(incarnation),
            group: None,
            generation: epochs::GroupGeneration::default(),
            model: None,
            state: reports::EngineState::Warm,
            running: sizes::RequestCount::new(running),
            queued: sizes::RequestCount::default(),
            is_leaving: self.core.is_leaving(),
        };
        serve::FakeReply::json(200, &json!(report))
    }

    async fn call(&self, request: serve::FakeRequest) -> serve::FakeReply {
        let sequence = request.sequence;
        self.running.fetch_add(1, atomic::Ordering::SeqCst);
        let receipt = self.receipts.fetch_add(1, atomic::Ordering::SeqCst) + 1;
        self.core.record.update(sequence, |entry| {
            entry.started = true;
            entry.effect = format!("receipt {receipt}");
        });
        tokio::time::sleep(self.call_time).await;
        self.running.fetch_sub(1, atomic::Ordering::SeqCst);
        let effect = format!("receipt {receipt}");
        self.core
            .record
            .close(sequence, record::RunEnd::Finished, &effect);
        let body = json!({
            "receipt": receipt,
            "vm": self.vm,
            "method": request.method,
            "path": request.path,
            "key": request.header("idempotency-key"),
            "body": String::from_utf8_lossy(&request.body),
        });
        serve::FakeReply::json(200, &body)
    }
}

impl serve::FakeApp for ServiceApp {
    fn core(&self) -> &serve::FakeCore {
        &self.core
    }

    fn is_recorded(&self, request: &serve::FakeRequest) -> bool {
        request.path != "report"
    }

    async fn answer(&self, request: serve::FakeRequest) -> serve::FakeReply {
        let (method, path) = request.route();
        match (method, path.as_slice()) {
            ("GET", ["report"]) => self.report(),
            _ => self.call(request).await,
        }
    }

    fn apply_fault(&self, kind: &fault::FaultKind) {
        if matches!(kind, fault::FaultKind::Restart { .. }) {
            self.incarnation.fetch_add(1, atomic::Ordering::SeqCst);
        }
    }
}
