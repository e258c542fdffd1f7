//! The engine routes for orders, cancellation and the prefix cache.

use pier_types::{epochs, times::clocks};
use serde_json::json;

use crate::{engine, fault, record, serve};

impl engine::EngineApp {
    /// Applies or refuses an order.
    pub(crate) fn order(&self, request: &serve::FakeRequest) -> serve::FakeReply {
        let sequence = request.sequence;
        let order = match serde_json::from_slice::<engine::EngineOrder>(&request.body) {
            Ok(order) => order,
            Err(error) => {
                self.core
                    .record
                    .close(sequence, record::RunEnd::Refused, "malformed order");
                return serve::FakeReply::json(400, &json!({"error": error.to_string()}));
            }
        };
        let lost = self
            .core
            .faults
            .take(request, |kind| *kind == fault::FaultKind::LoseOrder);
        if lost.is_some() {
            self.core
                .record
                .close(sequence, record::RunEnd::Refused, "fault: order lost");
            return serve::FakeReply::json(200, &json!({}));
        }
        let now = clocks::boot_now();
        let mut simulator = serve::lock(&self.simulator);
        let answer = simulator.apply_order(order, now);
        drop(simulator);
        match answer {
            engine::OrderAnswer::Accepted => {
                self.core
                    .record
                    .update(sequence, |entry| entry.started = true);
                self.core
                    .record
                    .close(sequence, record::RunEnd::Finished, "obeyed");
                serve::FakeReply::json(200, &json!({}))
            }
            engine::OrderAnswer::Fenced(generation) => {
                self.core
                    .record
                    .close(sequence, record::RunEnd::Refused, "fenced");
                serve::FakeReply::json(409, &json!({"generation": generation}))
            }
            engine::OrderAnswer::Expired => {
                self.core
                    .record
                    .close(sequence, record::RunEnd::Refused, "expired");
                serve::FakeReply::status(410)
            }
        }
    }

    /// Cancels an attempt.
    pub(crate) fn cancel(&self, request: &serve::FakeRequest, attempt: &str) -> serve::FakeReply {
        let sequence = request.sequence;
        let found = serve::lock(&self.simulator).cancel(attempt, clocks::boot_now());
        let effect = if found {
            "cancelled"
        } else {
            "nothing to cancel"
        };
        self.core
            .record
            .close(sequence, record::RunEnd::Finished, effect);
        serve::FakeReply::status(if found { 200 } else { 404 })
    }

    /// Returns cache events, subject to the event lag and to gaps set by a fault.
    pub(crate) fn cache_events(&self, request: &serve::FakeRequest) -> serve::FakeReply {
        let after = request
            .parsed_query::<epochs::EventSequence>("after")
            .unwrap_or_default();
        let simulator = serve::lock(&self.simulator);
        let (events, latest) = simulator.cache.events_after(after, clocks::boot_now());
        serve::FakeReply::json(200, &json!({"events": events, "latest": latest}))
    }

    /// Exports a cached prefix.
    pub(crate) fn export_prefix(&self, prefix: &str) -> serve::FakeReply {
        if !serve::lock(&self.simulator).cache.contains(prefix) {
            return serve::FakeReply::status(404);
        }
        let content = format!("kv:{prefix}");
        serve::FakeReply::status(200).body(serve::FakeBody::Whole(content.into()))
    }

    /// Imports a prefix into the cache.
    pub(crate) fn import_prefix(&self, prefix: &str) -> serve::FakeReply {
        let mut simulator = serve::lock(&self.simulator);
        simulator.cache.touch(prefix, clocks::boot_now());
        serve::FakeReply::status(200)
    }
}
