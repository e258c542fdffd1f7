//! What a stand-in adds to the server.

use std::future;

use crate::{fault, serve};

/// Answers the requests of one stand-in.
pub(crate) trait FakeApp: Send + Sync + 'static {
    /// Returns the record, the faults and the gate.
    fn core(&self) -> &serve::FakeCore;

    /// Tells whether a request goes into the record.
    fn is_recorded(&self, request: &serve::FakeRequest) -> bool;

    /// Answers one request.
    fn answer(
        &self,
        request: serve::FakeRequest,
    ) -> impl future::Future<Output = serve::FakeReply> + Send;

    /// Answers a control request of its own kind; nothing if it knows none.
    fn control(&self, _request: &serve::FakeRequest) -> Option<serve::FakeReply> {
        None
    }

    /// Applies a fault that acts at once on its state.
    fn apply_fault(&self, kind: &fault::FaultKind);

    /// Sets one fault.
    fn set_fault(&self, spec: fault::FaultSpec) {
        if spec.kind.is_immediate() {
            self.apply_fault(&spec.kind);
            self.core().apply_fault(&spec.kind);
        } else {
            self.core().faults.add(spec);
        }
    }
}
