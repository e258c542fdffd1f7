//! What a plain service answers.

use std::{sync::atomic, time};

use pier_types::{epochs, ids, reports, sizes};
use serde_json::json;

use crate::{record, serve};

/// A plain service's state and routes.
#[derive(Debug)]
pub(crate) struct ServiceApp {
    /// The VM it stands for.
    pub vm: ids::VmName,
    /// Counts its restarts.
    pub incarnation: atomic::AtomicU64,
    /// Time that each call takes.
    pub call_time: time::Duration,
    /// Receipts given.
    pub receipts: atomic::AtomicU64,
    /// Calls that run now.
    pub running: atomic::AtomicU32,
    /// Every call.
    pub record: record::RunRecord,
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
        };
        serve::FakeReply::json(200, &json!(report))
    }

    async fn call(&self, request: serve::FakeRequest) -> serve::FakeReply {
        let sequence = self.record.arrive(&request);
        self.running.fetch_add(1, atomic::Ordering::SeqCst);
        let receipt = self.receipts.fetch_add(1, atomic::Ordering::SeqCst) + 1;
        self.record.update(sequence, |entry| {
            entry.started = true;
            entry.effect = format!("receipt {receipt}");
        });
        tokio::time::sleep(self.call_time).await;
        self.running.fetch_sub(1, atomic::Ordering::SeqCst);
        self.record
            .update(sequence, |entry| entry.end = record::RunEnd::Finished);
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
    async fn answer(&self, request: serve::FakeRequest) -> serve::FakeReply {
        match request.route() {
            ("GET", path) if path == ["control", "record"] => {
                serve::FakeReply::json(200, &json!(self.record.entries()))
            }
            ("GET", path) if path == ["report"] => self.report(),
            _ => self.call(request).await,
        }
    }
}
