//! What all stand-ins share: the record, the faults and the gate.

use std::{
    sync::{self, atomic},
    time,
};

use serde_json::json;

use crate::{fault, record, serve};

/// Record, faults and gate of one stand-in; a cheap handle over shared state.
#[derive(Debug, Clone)]
pub(crate) struct FakeCore {
    /// What ran.
    pub record: record::RunRecord,
    /// Faults that wait for calls.
    pub faults: fault::FaultSet,
    /// The connections.
    pub proxy: serve::FaultProxy,
    /// Whether the stand-in says that it leaves.
    leaving: sync::Arc<atomic::AtomicBool>,
}

impl FakeCore {
    /// Makes the core behind a gate.
    pub(crate) fn new(proxy: serve::FaultProxy) -> Self {
        Self {
            record: record::RunRecord::default(),
            faults: fault::FaultSet::default(),
            proxy,
            leaving: sync::Arc::default(),
        }
    }

    /// Tells whether reports are to say that the stand-in leaves.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(atomic::Ordering::SeqCst)
    }

    /// Applies the faults that strike before a call has any effect; a reply ends the call.
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

    /// Applies the faults that strike after a call took effect.
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

    /// Ends every fault on calls and connections.
    pub(crate) fn clear(&self) {
        self.faults.clear();
        self.leaving.store(false, atomic::Ordering::SeqCst);
        self.proxy.set_mode(serve::ProxyMode::Open, None);
    }

    /// Applies a fault that acts on connections at once.
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
            _ => {}
        }
    }
}
