//! The interface between the shared server and each fake.

use std::future;

use crate::{fault, serve};

/// The state and routes of one fake server.
pub(crate) trait FakeApp: Send + Sync + 'static {
    /// Returns the shared record, faults and proxy.
    fn core(&self) -> &serve::FakeCore;

    /// Returns whether a request goes into the record.
    fn is_recorded(&self, request: &serve::FakeRequest) -> bool;

    /// Answers one request.
    fn answer(
        &self,
        request: serve::FakeRequest,
    ) -> impl future::Future<Output = serve::FakeReply> + Send;

    /// Answers a control request specific to this fake; `None` if the route is unknown.
    fn control(&self, _request: &serve::FakeRequest) -> Option<serve::FakeReply> {
        None
    }

    /// Applies an immediate fault to this fake's state.
    fn apply_fault(&self, kind: &fault::FaultKind);

    /// Applies an immediate fault, or stores a fault for later calls.
    fn set_fault(&self, spec: fault::FaultSpec) {
        if spec.kind.is_immediate() {
            self.apply_fault(&spec.kind);
            self.core().apply_fault(&spec.kind);
        } else {
            self.core().faults.add(spec);
        }
    }
}
