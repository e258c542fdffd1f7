//! A running plain service.

use std::net;

use pier_types::ids;

use crate::{fault, record, serve, serve::FakeApp as _, service};

/// A plain service that serves until it is dropped.
#[derive(Debug)]
pub struct FakeService {
    server: serve::FakeServer<service::ServiceApp>,
}

impl FakeService {
    /// Returns a builder for the service of one VM.
    pub fn builder(vm: ids::VmName) -> service::ServiceBuilder {
        service::ServiceBuilder::new(vm)
    }

    pub(crate) fn new(server: serve::FakeServer<service::ServiceApp>) -> Self {
        Self { server }
    }

    /// Returns where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Returns where its control endpoints answer, whatever fault is set.
    pub fn control_address(&self) -> net::SocketAddr {
        self.server.control
    }

    /// Sets a fault.
    pub fn set_fault(&self, spec: fault::FaultSpec) {
        self.server.app.set_fault(spec);
    }

    /// Ends every fault.
    pub fn clear_faults(&self) {
        self.server.app.core().clear();
    }

    /// Returns the record of every call.
    pub fn record(&self) -> &record::RunRecord {
        &self.server.app.core().record
    }
}
