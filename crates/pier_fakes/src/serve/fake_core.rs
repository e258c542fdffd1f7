//! What all fakes share: the record, the faults and the proxy.

use std::{
    sync::{self, atomic},
    time,
};

use serde_json::json;

use crate::{fault, record, serve};

/// Record, faults and proxy of one fake; clones share their state.
#[derive(Debug, Clone)]
pub(crate) struct FakeCore {
    /// The calls that arrived and what they did.
    pub record: record::RunRecord,
    /// Faults that apply to later calls.
    pub faults: fault::FaultSet,
    /// The proxy in front of the HTTP server.
    pub proxy: serve::FaultProxy,
    /// Whether reports say that the VM is leaving.
    leaving: sync::Arc<atomic::AtomicBool>,
    /// Whether answers to calls say so.
    leaving_answers: sync::Arc<atomic::AtomicBool>,
}

impl FakeCore {
    /// Creates a core behind a proxy.
    pub(crate) fn new(proxy: serve::FaultProxy) -> Self {
        Self {
            record: record::RunRecord::default(),
            faults: fault::FaultSet::default(),
            proxy,
            leaving: sync::Arc::default(),
            leaving_answers: sync::Arc::default(),
        }
    }

    /// Returns whether reports say that the VM is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(atomic::Ordering::SeqCst)
    }

    /// Returns whether answers to calls say that the VM is leaving.
    pub(crate) fn has_leaving_answers(&self) -> bool {
        self.leaving_answers.load(atomic::Ordering::SeqCst)
    }

    /// Applies the faults that act before a call takes effect; a returned reply ends the call.
    pub(crate) async fn inject_before(
        &self,
        request: &serve::FakeRequest,
    ) -> Option<serve::FakeReply> {
        self.proxy.wait_unpaused().await;
        let slow = self.faults.take(request, |kind| {
            matches!(kind, fault::FaultKind::Slow { .. })
        });
        if let Some(fault::FaultKind::Slow { ms }) = slow {
            tokio::time::sleep(time::Duration::from_millis(ms)).await;
        }
        let refusal = self.faults.take(request, |kind| {
            matches!(
                kind,
                fault::FaultKind::Error { .. } | fault::FaultKind::LoseRequest
            )
        })?;
        let refused = record::RunEnd::Refused;
        if let fault::FaultKind::Error {
            status,
            not_started,
        } = refusal
        {
            self.record.close(request.sequence, refused, "fault: error");
            let reply = serve::FakeReply::json(status, &json!({"error": "fault"}));
            return Some(if not_started {
                reply.header("X-Not-Started", 1)
            } else {
                reply
            });
        }
        self.record
            .close(request.sequence, refused, "fault: request lost");
        self.proxy.cut(request.client);
        Some(serve::FakeReply::status(500))
    }

    /// Applies the faults that act after a call took effect.
    pub(crate) fn inject_after(&self, request: &serve::FakeRequest) {
        let lost = self.faults.take(request, |kind| {
            matches!(kind, fault::FaultKind::EffectWithoutReply)
        });
        if lost.is_some() {
            self.record.update(request.sequence, |entry| {
                entry.effect.push_str(", fault: reply lost");
            });
            self.proxy.cut(request.client);
        }
    }

    /// Clears call faults, the leaving flags and connection faults.
    pub(crate) fn clear(&self) {
        self.faults.clear();
        self.leaving.store(false, atomic::Ordering::SeqCst);
        self.leaving_answers.store(false, atomic::Ordering::SeqCst);
        self.proxy.set_mode(serve::ProxyMode::Open, None);
    }

    /// Applies an immediate fault to the connections or the leaving flag.
    pub(crate) fn apply_fault(&self, kind: &fault::FaultKind) {
        let duration = |ms: &u64| time::Duration::from_millis(*ms);
        let proxy = &self.proxy;
        match kind {
            fault::FaultKind::Down { for_ms } => {
                proxy.set_mode(serve::ProxyMode::Down, for_ms.as_ref().map(duration));
            }
            fault::FaultKind::Pause { for_ms } => {
                proxy.set_mode(serve::ProxyMode::Paused, for_ms.as_ref().map(duration));
            }
            fault::FaultKind::Restart { for_ms } => {
                proxy.set_mode(serve::ProxyMode::Down, Some(duration(for_ms)));
            }
            fault::FaultKind::Up | fault::FaultKind::Resume => {
                proxy.set_mode(serve::ProxyMode::Open, None);
            }
            fault::FaultKind::Leaving => self.leaving.store(true, atomic::Ordering::SeqCst),
            fault::FaultKind::LeavingAnswers => {
                self.leaving_answers.store(true, atomic::Ordering::SeqCst);
            }
            _ => {}
        }
    }
}
